//! Enumerations that are written and read as text.

/// Implements `Display` and `FromStr` for an enumeration whose variants have fixed texts.
///
/// The first arguments are the type, what kind of value it is, and what an error says was expected.
///
/// ```
/// #[derive(Debug, PartialEq)]
/// enum Mode {
///     Tree,
///     Poll,
/// }
///
/// goldcresttally_core::text_enum!(Mode, "mode", "tree or poll", Tree = "tree", Poll = "poll");
///
/// assert_eq!("poll".parse(), Ok(Mode::Poll));
/// assert_eq!(Mode::Tree.to_string(), "tree");
/// ```
#[macro_export]
macro_rules! text_enum {
    ($type:ident, $kind:literal, $expected:literal, $($variant:ident = $text:literal),+ $(,)?) => {
        impl std::fmt::Display for $type {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(match self {
                    $(Self::$variant => $text,)+
                })
            }
        }

        impl std::str::FromStr for $type {
            type Err = $crate::Error;

            fn from_str(text: &str) -> $crate::Result<Self> {
                match text {
                    $($text => Ok(Self::$variant),)+
                    _ => $crate::errors::invalid($kind, text, $expected),
                }
            }
        }
    };
}
