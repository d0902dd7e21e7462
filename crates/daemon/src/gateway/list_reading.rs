//! Reads the list of back ends, page by page, while this node is its reader.

use crate::gateway::calls::{CallTarget, RuntimeCalls};
use crate::gateway::event::{GatewayEvent, ListRead};
use crate::settings::GatewaySettings;
use silversail_serving::ports::{BackendListEntry, ListPage};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Longest wait for one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Shortest time between two reads of the list by one node.
const LIST_INTERVAL: Duration = Duration::from_millis(700);
/// Calls from which a list counts as long: reading it again costs its source as much as many
/// short ones.
const LONG_LIST_CALLS: usize = 50;
/// Largest share by which that time is lengthened by lot.
const SPREAD: f64 = 0.3;
/// A refused page is asked for again after a time drawn by lot from zero to this; each
/// further refusal doubles it, as the source refuses what all nodes ask for together.
const PAGE_RETRY: Duration = Duration::from_millis(100);
/// Most doublings of it.
const MAX_DOUBLINGS: u32 = 4;
/// A read that takes longer than this begins anew: its first pages are old by then.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Most pages of a list: 100,000 back ends at 50 a page. A source that names a next
/// page for ever is not followed further.
const MAX_PAGES: usize = 2_000;

/// Why the list was not read.
#[derive(Debug, thiserror::Error)]
enum ListError {
    #[error("no page in time, last: {0}")]
    TimeOver(String),
    #[error("status {0}")]
    Status(u16),
    #[error("the page can't be read")]
    Unreadable,
    #[error("more than {MAX_PAGES} pages")]
    TooLong,
}

/// What came of asking for a page.
enum PageAnswer {
    Page(ListPage),
    /// The same page may be had later.
    Refused(String),
    Failed(ListError),
}

impl RuntimeCalls {
    /// Reads the list of back ends for ever, while this node is its reader.
    pub async fn follow_list(self, settings: GatewaySettings) {
        let interval = Duration::from_secs_f64(1.0 / settings.backend_list_rate.max(0.1));
        let interval = LIST_INTERVAL.max(interval);
        let long_interval = interval.max(settings.long_list_interval());
        let mut calls = 0;
        let mut reads_list = self.reads_list.subscribe();
        loop {
            self.pool.remove_expired();
            if reads_list.wait_for(|reads| *reads).await.is_err() {
                return;
            }
            match self.read_list(&settings.backend_list).await {
                Ok(read) => {
                    calls = read.calls;
                    self.tell(GatewayEvent::Listed(read));
                }
                Err(why) => self.tell(GatewayEvent::ListFailed(why.to_string())),
            }
            let spread = rand::random::<f64>() * SPREAD;
            let interval = match calls >= LONG_LIST_CALLS {
                true => long_interval,
                false => interval,
            };
            sleep(interval.mul_f64(1.0 + spread)).await;
        }
    }

    /// Reads all pages. A page that the source refuses is asked for again, not the ones
    /// before it.
    async fn read_list(&self, address: &str) -> Result<ListRead, ListError> {
        let began = Instant::now();
        let mut entries: BTreeMap<String, BackendListEntry> = BTreeMap::new();
        let mut malformed: BTreeMap<String, usize> = BTreeMap::new();
        let mut page: Option<String> = None;
        for calls in 1..=MAX_PAGES {
            let read = self.read_page(address, page.as_deref(), began).await?;
            for entry in read.instances {
                add_entry(&mut entries, entry);
            }
            for reason in read.malformed {
                *malformed.entry(reason).or_default() += 1;
            }
            page = read.next;
            if page.is_none() {
                let entries = entries.into_values().collect();
                return Ok(ListRead {
                    entries,
                    malformed,
                    calls,
                });
            }
        }
        Err(ListError::TooLong)
    }

    async fn read_page(
        &self,
        address: &str,
        page: Option<&str>,
        began: Instant,
    ) -> Result<ListPage, ListError> {
        let mut refusals = 0;
        loop {
            let why = match self.ask_page(address, page).await {
                PageAnswer::Page(page) => return Ok(page),
                PageAnswer::Failed(error) => return Err(error),
                PageAnswer::Refused(why) => why,
            };
            if began.elapsed() >= READ_TIMEOUT {
                return Err(ListError::TimeOver(why));
            }
            let longest = PAGE_RETRY * (1 << refusals.min(MAX_DOUBLINGS));
            refusals += 1;
            sleep(longest.mul_f64(rand::random())).await;
        }
    }

    async fn ask_page(&self, address: &str, page: Option<&str>) -> PageAnswer {
        let call = self.protocols.list.list_call(page);
        let source = CallTarget::ListSource { address };
        match self.call(&source, call, PAGE_TIMEOUT).await {
            Ok(answer) if answer.status == 200 => {
                match self.protocols.list.read_list(&answer.body) {
                    Some(page) => PageAnswer::Page(page),
                    None => PageAnswer::Failed(ListError::Unreadable),
                }
            }
            Ok(answer) if answer.status == 429 || answer.status >= 500 => {
                PageAnswer::Refused(format!("status {}", answer.status))
            }
            Ok(answer) => PageAnswer::Failed(ListError::Status(answer.status)),
            Err(error) => PageAnswer::Refused(error.to_string()),
        }
    }
}

/// Takes in an entry. While pages are read the list may move, so that an entry comes
/// twice: one that is leaving in either place is leaving.
fn add_entry(entries: &mut BTreeMap<String, BackendListEntry>, entry: BackendListEntry) {
    match entries.get_mut(&entry.id) {
        Some(known) => known.draining |= entry.draining,
        None => {
            entries.insert(entry.id.clone(), entry);
        }
    }
}
