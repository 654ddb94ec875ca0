//! Decimal numbers in SCGI and CGI.

/// Number of digits that always fit into a `u64`.
const MAX_DIGITS: usize = 18;

/// Parses a number of at most [`MAX_DIGITS`] digits, without sign, spaces or leading zeros.
pub(crate) fn parse(digits: &[u8]) -> Option<u64> {
    let is_valid = (1..=MAX_DIGITS).contains(&digits.len())
        && digits.iter().all(u8::is_ascii_digit)
        && (digits[0] != b'0' || digits.len() == 1);
    let add_digit = |value: u64, digit: &u8| value * 10 + u64::from(digit - b'0');
    is_valid.then(|| digits.iter().fold(0, add_digit))
}

#[cfg(test)]
mod tests;
