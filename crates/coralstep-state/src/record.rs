//! What a server acted on, over a restart: the version that it acts on, and its record of the earlier ones, in one file that is written
//! anew at each change. The bytes mean something only to who gives them; a file that is spoilt loses what is spoilt, and says so.
use std::io;

use crate::files::Files;
use crate::frame::{HEAD, Kind, head, put, records, version};

const NAME: &str = "fleet";
const NEW: &str = "fleet.new";
/// The version of the file's form.
const FORM: u16 = 1;
/// The longest file that is read.
const MOST: usize = 2 << 20;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    pub acts_on: Vec<u8>,
    pub entries: Vec<Vec<u8>>,
}

/// Writes it beside the old one, then puts it in its place: whenever the power goes, one of them is whole.
pub fn save(files: &mut impl Files, record: &Record) -> io::Result<()> {
    let mut bytes = head(Kind::Fleet, FORM);
    put(&mut bytes, &record.acts_on);
    record
        .entries
        .iter()
        .for_each(|entry| put(&mut bytes, entry));
    files.create(NEW)?;
    files.append(NEW, &bytes)?;
    files.sync(NEW)?;
    files.rename(NEW, NAME)?;
    files.sync_folder()
}

/// What is there, and how many bytes of it are spoilt; none where there is no such file, or it is of another form.
pub fn load(files: &impl Files) -> io::Result<Option<(Record, usize)>> {
    let bytes = match files.read(NAME, MOST) {
        Ok(bytes) => bytes,
        Err(why) if why.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(why) => return Err(why),
    };
    if version(&bytes, Kind::Fleet) != Some(FORM) {
        return Ok(None);
    }
    let (mut payloads, lost) = records(&bytes[HEAD..]);
    // What it acted on is the first; where that is spoilt nobody can say which of the others would be.
    if lost > 0 || payloads.is_empty() {
        return Ok(Some((Record::default(), lost.max(1))));
    }
    let acts_on = payloads.remove(0).to_vec();
    Ok(Some((
        Record {
            acts_on,
            entries: payloads.into_iter().map(<[u8]>::to_vec).collect(),
        },
        0,
    )))
}

#[cfg(test)]
mod tests;
