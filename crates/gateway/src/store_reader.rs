//! Reads and watches one part of the store.
//!
//! The parts are read independently: a call of one that fails or gets no answer does not delay the other. A call whose
//! answer is overdue is made a second time over a new connection, because an open connection may go silent without a
//! reset. An answer is not overdue while its bytes keep coming: a second call would share the link with it.
//!
//! While a long configuration arrives, operators may write later versions, of which a watch returns each in full. An answer
//! that holds several of the longest ones is given up for a read, which returns the latest version only.
//!
//! A watch is not continued in a later era of the store, although the store may accept the revision: it gave the revision
//! out again. The part is read in full instead.

use std::time::Duration;

use chicorycroft_adapter::{
    documents::{
        OPERATOR_PREFIX,
        TARGET_PREFIX, //
    },
    prelude::*,
};
use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use indexmap::IndexSet;
use rand::RngExt;

use crate::state::GatewayState;

/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// Largest random addition to [`FAILURE_PAUSE`], in milliseconds.
const FAILURE_JITTER_MILLIS: u64 = 150;

/// Largest answer of a watch. The store holds values of up to 1 MiB, which take 1.4 MB in base64, so that a longer answer
/// holds several versions.
const WATCH_SIZE_MAX: ByteCount = ByteCount::new(3 << 19);

/// A read of a whole part.
#[derive(Clone, Copy, Debug)]
struct PartRead {
    as_of: StorePosition,
    sent_at: MonoTime,
}

/// Reader of one part of the store.
#[derive(Clone, Copy, Debug)]
pub struct PartReader<'a> {
    state: &'a GatewayState,
    store: &'a StoreClient,
    part: StorePart,
}

impl<'a> PartReader<'a> {
    /// Creates the reader of a part.
    pub fn new(state: &'a GatewayState, store: &'a StoreClient, part: StorePart) -> Self {
        Self { state, store, part }
    }

    fn prefix(&self) -> &'static str {
        match self.part {
            StorePart::Operator => OPERATOR_PREFIX,
            StorePart::Targets => TARGET_PREFIX,
        }
    }

    fn budget(&self) -> ChangeBudget {
        self.state.change_budget()
    }

    /// Makes a call whose answer is due after `wait`. If it is overdue, the call is made a second time over a new
    /// connection, and the first answer counts.
    async fn call<F>(
        &self,
        wait: Duration,
        call: impl Fn(AnswerProgress) -> F,
    ) -> Result<StoreEvents, StoreError>
    where
        F: Future<Output = Result<StoreEvents, StoreError>>,
    {
        let sent_at = self.state.now();
        let result = self.first_answer(wait, call).await;
        self.set_progress(AnswerProgress::new());
        if let Ok(events) = &result {
            self.record_answer(events, self.state.now().since(sent_at), wait);
        }
        // An answer that refuses the call shows the era, too.
        let stated = StorePosition::new(self.store.era(), StoreRevision::default());
        let read = result.as_ref().map_or(stated, |events| events.as_of);
        let cache = &self.state.store_cache;
        cache.on_era(read.max(stated), self.state.now());
        let events = result?;
        match events.as_of.era < cache.era() {
            true => Err(StoreError::EraChanged(cache.era())),
            false => Ok(events),
        }
    }

    /// Publishes the progress of the call for the operators' records, which other hosts wait for.
    fn set_progress(&self, progress: AnswerProgress) {
        if self.part == StorePart::Operator {
            self.state.store_cache.set_operator_answer(progress);
        }
    }

    /// Records the size and time of an answer, and logs one that was overdue before it was complete.
    fn record_answer(&self, events: &StoreEvents, elapsed: Duration, wait: Duration) {
        let traffic = self.state.metrics.traffic();
        traffic.on_store_answer(self.part, events.size, elapsed);
        if elapsed > wait + self.budget().silence_limit() {
            log::info!(
                "event=store_answer_slow part={} bytes={} elapsed_ms={}",
                self.part,
                events.size,
                elapsed.as_millis()
            );
        }
    }

    async fn first_answer<F>(
        &self,
        wait: Duration,
        call: impl Fn(AnswerProgress) -> F,
    ) -> Result<StoreEvents, StoreError>
    where
        F: Future<Output = Result<StoreEvents, StoreError>>,
    {
        let progress = AnswerProgress::new();
        self.set_progress(progress.clone());
        let first = call(progress.clone());
        tokio::pin!(first);
        let silence_limit = self.budget().silence_limit();
        tokio::select! {
            answer = &mut first => return answer,
            () = progress.until_silent(wait + silence_limit, silence_limit) => {}
        }
        log::info!(
            "event=store_silent part={} waited_ms={}",
            self.part,
            (wait + silence_limit).as_millis()
        );
        self.state.store_cache.on_store_failure(self.state.now());
        // Idle connections may be silent for the same reason.
        self.store.close_idle();
        let second = call(AnswerProgress::new());
        tokio::pin!(second);
        tokio::select! {
            answer = &mut first => match answer {
                Ok(events) => Ok(events),
                Err(_) => second.await,
            },
            answer = &mut second => answer,
        }
    }

    /// Records a failed call, and logs the first one since the store answered. An answer of an earlier era is none.
    pub fn record_failure(&self, error: &StoreError) {
        if matches!(error, StoreError::EraChanged(_)) {
            return;
        }
        let cache = &self.state.store_cache;
        if !cache.is_store_failing() {
            log::warn!("event=store_lost part={} error=\"{error}\"", self.part);
        }
        cache.on_store_failure(self.state.now());
    }

    /// Reads the part in full and returns its position.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer in time, or answers from an earlier era than the latest one.
    pub async fn read(&self) -> Result<StorePosition, StoreError> {
        Ok(self.read_whole().await?.as_of)
    }

    async fn read_whole(&self) -> Result<PartRead, StoreError> {
        let sent_at = self.state.now();
        let limit = self.budget().call_limit();
        let read = async |progress| self.store.range(self.prefix(), limit, &progress).await;
        let events = self.call(Duration::ZERO, read).await?;
        let (cache, now) = (&self.state.store_cache, self.state.now());
        let (mut entries, mut evacuated) = (Vec::new(), IndexSet::new());
        for update in cache.decode_items(&events.items) {
            match update {
                DirectoryChange::TargetUpdated(entry) => entries.push(entry),
                DirectoryChange::ZoneEvacuated(zone) => {
                    evacuated.insert(zone);
                }
                _ => {}
            }
        }
        match self.part {
            StorePart::Operator => cache.replace_zones(evacuated, events.as_of, now),
            StorePart::Targets => {
                cache.on_store_answer(now);
                cache.replace_targets(entries, events.as_of, now);
            }
        }
        cache.confirm(self.part, sent_at);
        Ok(PartRead {
            as_of: events.as_of,
            sent_at,
        })
    }

    /// Watches the part after a read, until a call fails or the part must be read in full again.
    async fn watch(&self, read: PartRead) -> Result<(), StoreError> {
        let mut after = read.as_of;
        let (cache, budget) = (&self.state.store_cache, self.budget());
        let (wait, pause) = (budget.watch_wait(self.part), budget.watch_pause(self.part));
        while after.era == cache.era() && !cache.is_read_due(read.sent_at, self.state.now()) {
            let sent_at = self.state.now();
            let terms = WatchTerms {
                wait,
                limit: budget.call_limit(),
                size_max: WATCH_SIZE_MAX,
            };
            let watch = async |progress| {
                let prefix = self.prefix();
                self.store
                    .watch(prefix, after.revision, terms, &progress)
                    .await
            };
            let events = match self.call(wait, watch).await {
                Err(StoreError::EraChanged(_)) => return Ok(()),
                Err(StoreError::TooLong(found)) => {
                    log::info!(
                        "event=store_answer_too_long part={} bytes={found}",
                        self.part
                    );
                    return Ok(());
                }
                result => result?,
            };
            if events.as_of.era != after.era {
                return Ok(());
            }
            after = events.as_of.max(after);
            let now = self.state.now();
            if self.part == StorePart::Targets {
                cache.on_store_answer(now);
            }
            cache.apply(self.part, &events, now);
            // The store delays an empty answer for the whole wait.
            let confirmed_at = match events.items.is_empty() {
                true => sent_at.after(wait).min(now),
                false => sent_at,
            };
            cache.confirm(self.part, confirmed_at);
            tokio::time::sleep(pause).await;
        }
        Ok(())
    }

    /// Reads the part and watches it from then on. Reads it again after each failure.
    pub async fn follow(&self) {
        loop {
            let result = match self.read_whole().await {
                Ok(read) => {
                    log::info!(
                        "event=store_watched part={} as_of={}",
                        self.part,
                        read.as_of
                    );
                    self.watch(read).await
                }
                Err(error) => Err(error),
            };
            match result {
                // The history after the revision is gone, or a full read is due: the store serves this host.
                Ok(()) | Err(StoreError::Compacted) => {}
                Err(error) => {
                    self.record_failure(&error);
                    pause_after_failure().await;
                }
            }
        }
    }
}

/// Waits before the next call to a store that did not answer. The random part spreads the calls of several hosts.
async fn pause_after_failure() {
    let jitter = rand::rng().random_range(0..FAILURE_JITTER_MILLIS);
    tokio::time::sleep(FAILURE_PAUSE + Duration::from_millis(jitter)).await;
}
