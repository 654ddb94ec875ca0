//! The `operator` section: the listener for operators.
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::Deserialize;
use thiserror::Error;

/// Configuration of the listener for operators.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(
    deny_unknown_fields,
    rename = "OperatorTerms",
    expecting = "struct OperatorTerms"
)]
#[schemars(description = "")]
pub struct OperatorConfig {
    /// A loopback address and port, or `unix:` and a path. Changes with a restart.
    #[schemars(with = "String")]
    pub listen: ListenAddress,
}

/// Address of the listener for operators: a loopback address or the path of a Unix socket.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub enum ListenAddress {
    /// A TCP listener on loopback.
    Address(SocketAddr),
    /// A Unix socket.
    Path(PathBuf),
}

impl FromStr for ListenAddress {
    type Err = ListenAddressError;

    fn from_str(text: &str) -> Result<ListenAddress, ListenAddressError> {
        if let Some(path) = text.strip_prefix("unix:").filter(|path| !path.is_empty()) {
            return Ok(ListenAddress::Path(path.into()));
        }
        let address: SocketAddr = text
            .parse()
            .map_err(|_| ListenAddressError::Malformed(text.to_owned()))?;
        // Guards against a listener for operators that is reachable from other machines.
        if address.ip().is_loopback() {
            Ok(ListenAddress::Address(address))
        } else {
            Err(ListenAddressError::NotLoopback(address))
        }
    }
}

impl TryFrom<String> for ListenAddress {
    type Error = ListenAddressError;

    fn try_from(text: String) -> Result<ListenAddress, ListenAddressError> {
        text.parse()
    }
}

impl std::fmt::Display for ListenAddress {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ListenAddress::Address(address) => address.fmt(f),
            ListenAddress::Path(path) => write!(f, "unix:{}", path.display()),
        }
    }
}

/// An invalid [`ListenAddress`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ListenAddressError {
    /// Neither an address and port nor `unix:` and a path.
    #[error("{0:?} is neither an address and port nor unix:PATH")]
    Malformed(String),
    /// The address is reachable from other machines.
    #[error("{0} is not on loopback")]
    NotLoopback(SocketAddr),
}
