//! Format of the heads in these tests.

use std::time;

use lift_gateway::{AnswerHead, BackendCall, CallerHead, DialectError, Rejection};

#[derive(Debug)]
pub(crate) struct TestDialect;

fn text(headers: &http::HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(String::from(value))
}

fn number(headers: &http::HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

fn set(headers: &mut http::HeaderMap, name: &'static str, value: &str) {
    headers.insert(name, value.parse().unwrap());
}

impl lift_gateway::Dialect for TestDialect {
    fn read_request(&self, head: &http::request::Parts) -> Result<CallerHead, DialectError> {
        Ok(CallerHead {
            id: text(&head.headers, "x-id").ok_or(DialectError::Missing("x-id"))?,
            timeout: Some(time::Duration::from_secs(4)),
            key: text(&head.headers, "x-key"),
            model: text(&head.headers, "x-model"),
            parts: text(&head.headers, "x-parts").map_or_else(Vec::new, |parts| {
                parts.split(',').map(String::from).collect()
            }),
            prompt: text(&head.headers, "x-parts"),
            last_event: None,
        })
    }

    fn write_call(&self, headers: &mut http::HeaderMap, call: &BackendCall) {
        headers.remove("x-key");
        set(headers, "x-backend", &call.backend);
        let time_left = call.time_left.as_millis().to_string();
        set(headers, "x-time-left", &time_left);
        if let Some(workspace) = &call.workspace {
            set(headers, "x-workspace", workspace);
        }
        if let Some(priority) = call.priority {
            set(headers, "x-priority", &priority.to_string());
        }
        if let Some(event) = call.last_event {
            set(headers, "x-last", &event.to_string());
        }
    }

    fn read_answer(&self, head: &http::response::Parts) -> AnswerHead {
        AnswerHead {
            id: text(&head.headers, "x-id"),
            is_sealed: head.headers.contains_key("x-seal"),
            is_not_run: head.headers.contains_key("x-not-run"),
            weights: number(&head.headers, "x-weights"),
            keep_alive: number(&head.headers, "x-keep-s").map(time::Duration::from_secs),
            ..AnswerHead::default()
        }
    }

    fn write_rejection(&self, headers: &mut http::HeaderMap, rejection: &Rejection) {
        set(headers, "x-reason", &rejection.reason.to_string());
    }
}
