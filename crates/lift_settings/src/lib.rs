//! JSON settings with checks that name the field at fault.
