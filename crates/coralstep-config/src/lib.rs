//! Configuration of a server: the deployment's [`settings`] and the operator's own [`site`] file.
//!
//! Both are checked before a server starts on them; an error names the key at fault. [`starvation`] finds configurations that
//! are valid and would never serve a method.
pub mod settings;
pub mod site;
pub mod starvation;

pub use settings::{Names, SettingError, from_json, from_pairs};
