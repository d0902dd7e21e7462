//! Reads the backend list page by page while this node is its reader.

use crate::gateway::call_types::{CallError, CallTarget};
use crate::gateway::calls::RuntimeCalls;
use crate::gateway::event::{GatewayEvent, ListRead};
use crate::settings::GatewaySettings;
use silversail_serving::ports::{BackendListEntry, ListPage};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Maximum duration of the call for one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Minimum interval between two reads by one node.
const LIST_INTERVAL: Duration = Duration::from_millis(700);
/// Number of calls from which a list counts as long and is read less often.
const LONG_LIST_CALLS: usize = 50;
/// Maximum jitter, as a share of the interval.
const MAX_JITTER: f64 = 0.3;
/// Maximum delay before a refused page is requested again; doubles with each refusal. The actual
/// delay is random, so that the retries of several nodes are spread.
const MAX_FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of doublings of the delay.
const MAX_DOUBLINGS: u32 = 4;
/// Maximum duration of a read. Its first pages are outdated after that.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of pages, which bounds a read if the source returns a next page without end.
const MAX_PAGES: usize = 2_000;
/// Maximum length of a page token in bytes, which bounds the memory for the tokens of a read.
const MAX_TOKEN_BYTES: usize = 4_096;

/// Reason why the list could not be read.
#[derive(Debug, thiserror::Error)]
enum ListError {
    #[error("a page was refused until the read timed out; last refusal: {0}")]
    PagesRefused(String),
    #[error("the list source returned status {0}")]
    Status(u16),
    #[error("a page of the backend list is malformed")]
    MalformedPage,
    #[error("the backend list has more than {MAX_PAGES} pages")]
    TooManyPages,
    #[error("a page of the backend list names a page that was read before")]
    RepeatedPage,
    #[error("a page token has {0} bytes, more than {MAX_TOKEN_BYTES}")]
    TokenTooLong(usize),
    #[error("a page can't be requested: {0}")]
    InvalidRequest(CallError),
}

/// Result of a request for a page.
enum PageResult {
    Page(ListPage),
    /// The request may be repeated.
    Refused(String),
    Failed(ListError),
}

impl RuntimeCalls {
    /// Reads the backend list periodically while this node is its reader.
    pub async fn run_list_reader(self, settings: GatewaySettings) {
        let interval = Duration::from_secs_f64(1.0 / settings.backend_list_rate.max(0.1));
        let interval = LIST_INTERVAL.max(interval);
        let long_interval = interval.max(settings.long_list_interval());
        let mut calls = 0;
        let mut is_list_reader = self.is_list_reader.subscribe();
        loop {
            self.pool.remove_expired();
            if is_list_reader
                .wait_for(|is_reader| *is_reader)
                .await
                .is_err()
            {
                return;
            }
            match self.read_list(&settings.backend_list).await {
                Ok(read) => {
                    calls = read.calls;
                    self.send_event(GatewayEvent::BackendListRead(read));
                }
                Err(reason) => self.send_event(GatewayEvent::BackendListFailed(reason.to_string())),
            }
            let jitter = rand::random::<f64>() * MAX_JITTER;
            let interval = match calls >= LONG_LIST_CALLS {
                true => long_interval,
                false => interval,
            };
            sleep(interval.mul_f64(1.0 + jitter)).await;
        }
    }

    /// Reads all pages. A refused page is retried without a new read of the pages before it.
    async fn read_list(&self, address: &str) -> Result<ListRead, ListError> {
        let started_at = Instant::now();
        let mut entries: BTreeMap<String, BackendListEntry> = BTreeMap::new();
        let mut malformed: BTreeMap<String, usize> = BTreeMap::new();
        let mut page: Option<String> = None;
        let mut tokens: BTreeSet<String> = BTreeSet::new();
        for calls in 1..=MAX_PAGES {
            let list_page = self.read_page(address, page.as_deref(), started_at).await?;
            for entry in list_page.instances {
                add_entry(&mut entries, entry);
            }
            for reason in list_page.malformed {
                *malformed.entry(reason).or_default() += 1;
            }
            let Some(token) = list_page.next else {
                let entries = entries.into_values().collect();
                return Ok(ListRead {
                    entries,
                    malformed,
                    calls,
                });
            };
            check_token(&token)?;
            if !tokens.insert(token.clone()) {
                return Err(ListError::RepeatedPage);
            }
            page = Some(token);
        }
        Err(ListError::TooManyPages)
    }

    async fn read_page(
        &self,
        address: &str,
        page: Option<&str>,
        started_at: Instant,
    ) -> Result<ListPage, ListError> {
        let mut refusals = 0;
        loop {
            let reason = match self.request_page(address, page).await {
                PageResult::Page(page) => return Ok(page),
                PageResult::Failed(error) => return Err(error),
                PageResult::Refused(reason) => reason,
            };
            if started_at.elapsed() >= READ_TIMEOUT {
                return Err(ListError::PagesRefused(reason));
            }
            let max_delay = MAX_FIRST_RETRY_DELAY * (1 << refusals.min(MAX_DOUBLINGS));
            refusals += 1;
            sleep(max_delay.mul_f64(rand::random())).await;
        }
    }

    async fn request_page(&self, address: &str, page: Option<&str>) -> PageResult {
        let call = self.protocols.list.list_call(page);
        let source = CallTarget::ListSource { address };
        match self.call(&source, call, PAGE_TIMEOUT).await {
            Ok(answer) if answer.head.status == 200 => {
                match self.protocols.list.read_list(&answer.body) {
                    Some(page) => PageResult::Page(page),
                    None => PageResult::Failed(ListError::MalformedPage),
                }
            }
            Ok(answer) if answer.head.status == 429 || answer.head.status >= 500 => {
                PageResult::Refused(format!("status {}", answer.head.status))
            }
            Ok(answer) => PageResult::Failed(ListError::Status(answer.head.status)),
            Err(error @ CallError::InvalidRequest(_)) => {
                PageResult::Failed(ListError::InvalidRequest(error))
            }
            Err(error) => PageResult::Refused(error.to_string()),
        }
    }
}

fn check_token(token: &str) -> Result<(), ListError> {
    match token.len() <= MAX_TOKEN_BYTES {
        true => Ok(()),
        false => Err(ListError::TokenTooLong(token.len())),
    }
}

/// Adds an entry. The list may change between pages, so that an entry can occur twice; it is
/// draining if either occurrence is.
fn add_entry(entries: &mut BTreeMap<String, BackendListEntry>, entry: BackendListEntry) {
    match entries.get_mut(&entry.id) {
        Some(existing) => existing.draining |= entry.draining,
        None => {
            entries.insert(entry.id.clone(), entry);
        }
    }
}
