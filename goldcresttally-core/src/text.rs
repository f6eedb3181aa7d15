//! Text conversion of enumerations.

/// Implements `Display` and `FromStr` for an enumeration whose variants have fixed texts.
///
/// The arguments are the type, the kind of value and the expected form for parse errors, and the
/// text of each variant.
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
