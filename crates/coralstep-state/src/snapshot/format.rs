//! Encoding of snapshots. The order of fields is part of the format, as postcard encodes by
//! position. Operators' tools read the JSON keys of an export.
use coralstep::{LearnedState, TenantService};
use serde::{Deserialize, Serialize};

use super::{Corruption, FORMAT_VERSION, SequenceNumber, SnapshotError};
use crate::fingerprint::ConfigFingerprint;
use crate::framing::{self, FileKind, HEADER_BYTES};

/// Histogram of run or call times with the scheduler's bins.
type HistogramBins = [u32; 12];

/// Format version 1. Later versions add fields at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct StoredV1 {
    /// Increases with each snapshot.
    #[serde(rename = "number")]
    pub(super) sequence_number: SequenceNumber,
    /// Seconds since the Unix epoch.
    #[serde(rename = "written_s")]
    pub(super) written_at_s: u64,
    pub(super) server: String,
    pub(super) cores: u32,
    pub(super) methods: Vec<String>,
    #[serde(rename = "dependency")]
    pub(super) dependency_share: Option<f64>,
    #[serde(rename = "runs")]
    pub(super) run_times: Vec<HistogramBins>,
    #[serde(rename = "calls")]
    pub(super) call_times: HistogramBins,
    #[serde(rename = "limit")]
    pub(super) concurrency_limit: Option<u32>,
    #[serde(rename = "permits")]
    pub(super) call_permits: Option<f64>,
    /// In ticks of the scheduler.
    #[serde(rename = "best")]
    pub(super) best_call_time: Option<u64>,
}

/// A tenant's name and its requested and served counts, encoded as a pair in the file and in JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct StoredTenant(String, [f64; 2]);

/// A snapshot of the current format version. postcard encodes nested structs like flat ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Stored {
    pub(super) base: StoredV1,
    tenants: Vec<StoredTenant>,
}

/// A snapshot as JSON, with the keys of the nested struct flattened.
#[derive(Serialize)]
struct Export<'a> {
    #[serde(flatten)]
    base: &'a StoredV1,
    tenants: &'a [StoredTenant],
}

impl From<StoredV1> for Stored {
    fn from(base: StoredV1) -> Stored {
        Stored {
            base,
            tenants: Vec::new(),
        }
    }
}

impl Stored {
    pub(super) fn new(
        learned: &LearnedState,
        fingerprint: &ConfigFingerprint,
        sequence_number: SequenceNumber,
        written_at_s: u64,
    ) -> Stored {
        let tenants = fingerprint
            .tenants
            .iter()
            .zip(&learned.tenants)
            .map(|(name, tenant)| StoredTenant(name.clone(), [tenant.requested, tenant.served]))
            .collect();
        let base = StoredV1 {
            sequence_number,
            written_at_s,
            server: fingerprint.server.clone(),
            cores: fingerprint.cores,
            methods: fingerprint.methods.clone(),
            dependency_share: fingerprint.dependency_share,
            run_times: learned.run_times.clone(),
            call_times: learned.call_times,
            concurrency_limit: learned.concurrency_limit,
            call_permits: learned.call_permits,
            best_call_time: learned.best_call_time,
        };
        Stored { base, tenants }
    }

    /// Returns the seconds since it was written; negative if it is from the future.
    pub(super) fn age_s(&self, now_s: u64) -> i64 {
        now_s as i64 - self.base.written_at_s as i64
    }

    pub(super) fn fingerprint(&self) -> ConfigFingerprint {
        let base = &self.base;
        ConfigFingerprint {
            server: base.server.clone(),
            cores: base.cores,
            methods: base.methods.clone(),
            dependency_share: base.dependency_share,
            tenants: self.tenants.iter().map(|tenant| tenant.0.clone()).collect(),
        }
    }

    pub(super) fn learned(&self) -> LearnedState {
        let base = &self.base;
        LearnedState {
            run_times: base.run_times.clone(),
            call_times: base.call_times,
            concurrency_limit: base.concurrency_limit,
            call_permits: base.call_permits,
            best_call_time: base.best_call_time,
            tenants: self
                .tenants
                .iter()
                .map(|StoredTenant(_, [requested, served])| TenantService {
                    requested: *requested,
                    served: *served,
                })
                .collect(),
        }
    }

    /// Encodes a whole file, header included.
    pub(super) fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let payload = postcard::to_stdvec(self)?;
        let mut file = framing::file_header(FileKind::Learned, FORMAT_VERSION);
        framing::append_record(&mut file, &payload);
        Ok(file)
    }

    /// Decodes a whole file of any format version up to the current one.
    pub(super) fn decode(file: &[u8]) -> Result<Stored, SnapshotError> {
        let version = framing::read_version(file, FileKind::Learned).ok_or(Corruption::Header)?;
        if version > FORMAT_VERSION {
            return Err(SnapshotError::UnsupportedVersion { version });
        }
        let body = &file[HEADER_BYTES..];
        let record = framing::first_record(body).ok_or(Corruption::Record)?;
        let trailing_bytes = body.len() - record.framed_bytes;
        if trailing_bytes > 0 {
            return Err(Corruption::TrailingBytes(trailing_bytes).into());
        }
        match version {
            1 => Ok(Stored::from(decode_payload::<StoredV1>(record.payload)?)),
            FORMAT_VERSION => Ok(decode_payload(record.payload)?),
            _ => Err(Corruption::Header.into()),
        }
    }

    pub(super) fn to_json(&self) -> serde_json::Result<String> {
        serde_json::to_string_pretty(&Export {
            base: &self.base,
            tenants: &self.tenants,
        })
    }
}

fn decode_payload<'a, T: Deserialize<'a>>(payload: &'a [u8]) -> Result<T, Corruption> {
    postcard::from_bytes(payload).map_err(Corruption::Payload)
}
