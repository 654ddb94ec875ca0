//! Configuration of a server: the deployment [`settings`] and the operator's [`site`] file.
//!
//! Both are validated before a server uses them; an error names the invalid key. [`starvation`] rejects valid configurations
//! that would never serve a method.
pub mod settings;
pub mod site;
pub mod starvation;

pub use settings::{Names, SettingError, from_json, from_pairs};
