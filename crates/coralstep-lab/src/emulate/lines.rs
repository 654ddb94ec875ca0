//! Parser for the server's commands to its engine and store: a line of words, with a body for some commands whose length is the
//! last word.

/// Maximum length of a body.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Parses the first command into its line, its body and the number of bytes used. Returns `None` if it is incomplete.
pub fn parse_command(bytes: &[u8]) -> std::io::Result<Option<(String, Vec<u8>, usize)>> {
    let invalid =
        |what: &str| std::io::Error::new(std::io::ErrorKind::InvalidData, what.to_owned());
    let Some(end) = bytes.windows(2).position(|two| two == b"\r\n") else {
        return if bytes.len() > MAX_BODY_BYTES {
            Err(invalid("command line too long"))
        } else {
            Ok(None)
        };
    };
    let line = std::str::from_utf8(&bytes[..end])
        .map_err(|_| invalid("command line is not UTF-8"))?
        .to_owned();
    let start = end + 2;
    if !["RUN ", "FEED ", "CALL "]
        .iter()
        .any(|with_body| line.starts_with(with_body))
    {
        return Ok(Some((line, Vec::new(), start)));
    }
    let length = line
        .rsplit(' ')
        .next()
        .and_then(|length| length.parse().ok());
    let length: usize = length
        .filter(|length| *length <= MAX_BODY_BYTES)
        .ok_or_else(|| invalid("missing or invalid body length"))?;
    let Some(body) = bytes.get(start..start + length + 2) else {
        return Ok(None);
    };
    Ok(Some((line, body[..length].to_vec(), start + length + 2)))
}

#[cfg(test)]
mod tests;
