//! Address of a server.

use std::{fmt, str};

/// An entry's administration API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Server {
    /// Host name or IP address.
    pub(crate) host: String,
    /// Host and port.
    pub(crate) authority: String,
    /// Whether TLS is used.
    pub(crate) scheme: Scheme,
}

/// Scheme of a server's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scheme {
    Http,
    Https,
}

impl str::FromStr for Server {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || String::from("write http://HOST:PORT or https://HOST:PORT");
        let uri: http::Uri = text.parse().map_err(|_| wrong())?;
        let scheme = match uri.scheme_str() {
            Some("http") => Scheme::Http,
            Some("https") => Scheme::Https,
            _ => return Err(wrong()),
        };
        let authority = uri.authority().ok_or_else(wrong)?;
        if authority.port().is_none() || !matches!(uri.path(), "" | "/") {
            return Err(wrong());
        }
        let host = authority.host().trim_matches(['[', ']']);
        Ok(Self {
            host: String::from(host),
            authority: authority.to_string(),
            scheme,
        })
    }
}

impl fmt::Display for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.authority)
    }
}
