//! Commands of the server to its engine and its store: a line of words, for some of them with a body whose length is the last.

/// The longest body that a stand-in takes.
const BODY: usize = 1 << 20;

/// The first command, its body and what they take; `None` while more must be read.
pub fn command(bytes: &[u8]) -> std::io::Result<Option<(String, Vec<u8>, usize)>> {
    let garbled =
        |what: &str| std::io::Error::new(std::io::ErrorKind::InvalidData, what.to_owned());
    let Some(end) = bytes.windows(2).position(|two| two == b"\r\n") else {
        return if bytes.len() > BODY {
            Err(garbled("a line without end"))
        } else {
            Ok(None)
        };
    };
    let line = std::str::from_utf8(&bytes[..end])
        .map_err(|_| garbled("no text"))?
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
        .filter(|length| *length <= BODY)
        .ok_or_else(|| garbled("no length"))?;
    let Some(body) = bytes.get(start..start + length + 2) else {
        return Ok(None);
    };
    Ok(Some((line, body[..length].to_vec(), start + length + 2)))
}

#[cfg(test)]
mod tests;
