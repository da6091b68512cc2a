//! Traits for the systems at the borders of marjoramlift, with one implementation each.
//!
//! [`Backend`] is whatever answers requests: a model engine or a plain service.
//! [`Engine`] is a model engine that loads and unloads weights on order. [`Origin`] and
//! [`WeightStore`] provide weights. [`Platform`] is told whether this process is ready.
//! [`ServingControl`] is the border between the part of an agent that changes weights and the
//! part that runs requests.
//!
//! The users' real systems are not known yet. Another implementation of a trait needs no change
//! to the code that uses the trait. Small stand-ins are in `lift_standin`; `docs/design.md`,
//! section 5, has the reasons.

mod answer;
mod answer_head;
mod backend;
mod backend_call;
mod backend_error;
mod echo_check;
mod engine;
mod engine_error;
mod engine_status;
mod http_backend;
mod http_client;
mod http_engine;
mod http_error;
mod http_origin;
mod http_platform;
mod http_status;
mod http_weight_store;
mod load_order;
mod origin;
mod origin_error;
mod platform;
mod platform_error;
mod reach;
mod readiness;
mod server_probe;
mod serving_control;
mod weight_store;

pub use answer::{Answer, BodyStream};
pub use answer_head::AnswerHead;
pub use backend::Backend;
pub use backend_call::BackendCall;
pub use backend_error::BackendError;
pub use echo_check::EchoCheck;
pub use engine::Engine;
pub use engine_error::EngineError;
pub use engine_status::EngineStatus;
pub use http_backend::{
    HttpBackend, PRIORITY_HEADER, REQUEST_ID_HEADER, RESUME_HEADER, TIME_LEFT_HEADER,
    VERSION_HEADER,
};
pub use http_client::{HttpClient, segment};
pub use http_engine::HttpEngine;
pub use http_error::HttpError;
pub use http_origin::HttpOrigin;
pub use http_platform::HttpPlatform;
pub use http_weight_store::HttpWeightStore;
pub use load_order::LoadOrder;
pub use origin::Origin;
pub use origin_error::OriginError;
pub use platform::Platform;
pub use platform_error::PlatformError;
pub use reach::reach;
pub use readiness::Readiness;
pub use serving_control::ServingControl;
pub use weight_store::WeightStore;
