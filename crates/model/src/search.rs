//! Breadth-first search of all states that a model can reach.

use std::{
    cell::Cell,
    fmt,
    hash::{
        Hash,
        Hasher, //
    },
    rc::Rc,
    sync::Arc, //
};

use pathfinding::prelude::bfs_reach;

/// A specification: its first state, the events that can follow a state, and what must hold.
///
/// A state is kept as the events that lead to it, and is built anew when it is needed. Where a model
/// can copy its states, those that have yet to be expanded are kept whole.
pub struct ProtocolModel<W, E> {
    /// Builds the first state.
    pub start: Box<dyn Fn() -> W>,
    /// Lists the events that can happen next.
    pub events: fn(&W) -> Vec<E>,
    /// Copies a state, where its aggregates can be copied.
    pub copy: Option<fn(&W) -> W>,
    /// Lets an event happen.
    pub apply: fn(&mut W, &E),
    /// Digest of all that the future depends on.
    pub digest: fn(&W) -> u128,
    /// Returns which invariant does not hold, and why.
    pub breach: fn(&W) -> Option<String>,
}

/// The events that lead from the first state to one in which an invariant does not hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CounterExample {
    /// The events, in order.
    pub events: Vec<String>,
    /// Which invariant does not hold, and why.
    pub breach: String,
}

impl fmt::Display for CounterExample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, event) in self.events.iter().enumerate() {
            writeln!(f, "{:2}. {event}", number + 1)?;
        }
        write!(f, "=> {}", self.breach)
    }
}

/// What a search saw.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SearchReport {
    /// Different states, the first one included.
    pub states: usize,
    /// Events that were tried.
    pub transitions: usize,
    /// Events on the shortest path to the farthest state.
    pub depth: usize,
    /// Shortest path to a state in which an invariant does not hold. The search ends there.
    pub counter_example: Option<CounterExample>,
}

struct PathLink<E> {
    event: E,
    before: Option<Arc<PathLink<E>>>,
}

/// A state by its digest and one shortest path to it.
struct FoundState<W, E> {
    digest: u128,
    depth: usize,
    world: Rc<Cell<Option<W>>>,
    path: Option<Arc<PathLink<E>>>,
    breach: Option<Arc<str>>,
}

impl<W, E> Clone for FoundState<W, E> {
    fn clone(&self) -> Self {
        Self {
            digest: self.digest,
            depth: self.depth,
            world: self.world.clone(),
            path: self.path.clone(),
            breach: self.breach.clone(),
        }
    }
}

impl<W, E> PartialEq for FoundState<W, E> {
    fn eq(&self, other: &Self) -> bool {
        self.digest == other.digest
    }
}

impl<W, E> Eq for FoundState<W, E> {}

impl<W, E> Hash for FoundState<W, E> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.digest.hash(state);
    }
}

impl<W, E: Clone> FoundState<W, E> {
    fn events(&self) -> Vec<E> {
        let mut events = Vec::with_capacity(self.depth);
        let mut link = self.path.as_ref();
        while let Some(at) = link {
            events.push(at.event.clone());
            link = at.before.as_ref();
        }
        events.reverse();
        events
    }
}

impl<W, E: Clone + fmt::Display> ProtocolModel<W, E> {
    fn replay(&self, events: &[E]) -> W {
        let mut world = (self.start)();
        for event in events {
            (self.apply)(&mut world, event);
        }
        world
    }

    fn found(&self, world: W, path: Option<Arc<PathLink<E>>>, depth: usize) -> FoundState<W, E> {
        // The digest comes first, because reading a balance brings an account up to date.
        let digest = (self.digest)(&world);
        let breach = (self.breach)(&world).map(Arc::from);
        FoundState {
            digest,
            depth,
            world: Rc::new(Cell::new(self.copy.map(|_| world))),
            path,
            breach,
        }
    }

    fn successors(&self, state: &FoundState<W, E>) -> Vec<FoundState<W, E>> {
        let path = state.events();
        let parent = state.world.take().unwrap_or_else(|| self.replay(&path));
        let next = (self.events)(&parent);
        let reach = |event: E| {
            let copy = self.copy.map(|copy| copy(&parent));
            let mut world = copy.unwrap_or_else(|| self.replay(&path));
            (self.apply)(&mut world, &event);
            let before = state.path.clone();
            let link = Arc::new(PathLink { event, before });
            self.found(world, Some(link), state.depth + 1)
        };
        next.into_iter().map(reach).collect()
    }

    /// Visits all states that can be reached, the nearest ones first, up to the first one in which
    /// an invariant does not hold.
    pub fn explore(&self) -> SearchReport {
        let start = self.found((self.start)(), None, 0);
        let mut report = SearchReport::default();
        let tried = Cell::new(0);
        let successors = |state: &FoundState<W, E>| {
            let next = self.successors(state);
            tried.set(tried.get() + next.len());
            next
        };
        for state in bfs_reach(start, successors) {
            report.states += 1;
            report.depth = report.depth.max(state.depth);
            if let Some(breach) = &state.breach {
                report.counter_example = Some(CounterExample {
                    events: state.events().iter().map(E::to_string).collect(),
                    breach: breach.to_string(),
                });
                break;
            }
        }
        report.transitions = tried.get();
        report
    }
}
