//! Guards against a panic or an accepted datagram on damaged input.

use lift_wire::{LinkKey, LinkKeys};
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest};

fn keys() -> LinkKeys {
    LinkKeys::new(LinkKey::new(1, [7; 32]))
}

proptest! {
    #[test]
    fn random_bytes_are_refused(buf in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(lift_wire::open::<Vec<u64>>(&keys(), &buf).is_err());
    }

    #[test]
    fn one_changed_bit_is_refused(message in any::<Vec<u16>>(), position in any::<usize>(), bit in 0..8_u8) {
        let mut buf = lift_wire::seal(&keys(), &message).unwrap();
        prop_assert_eq!(&lift_wire::open::<Vec<u16>>(&keys(), &buf).unwrap(), &message);
        let position = position % buf.len();
        buf[position] ^= 1 << bit;
        prop_assert!(lift_wire::open::<Vec<u16>>(&keys(), &buf).is_err());
    }
}
