#ifndef VERBENALEAD_DECIDE_PLACEMENT_FAKE_FLEET_H_
#define VERBENALEAD_DECIDE_PLACEMENT_FAKE_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "decide/admission/early_refusal.h"
#include "decide/admission/late_call_shedding.h"
#include "decide/admission/slot_queue.h"
#include "decide/placement/fake_replica.h"
#include "decide/placement/replica_pool.h"

namespace verbenalead::decide {

/// Calls of one rank and organisation on a simulated fleet.
struct FakeKind {
  int m_rank = 0;
  std::string m_organisation;
  double m_calls_per_second = 0;
  /// Length of the prompts, relative to those of other calls.
  double m_prompt_scale = 1;
  Duration m_from{};
  Duration m_until = std::chrono::hours(1);
  /// The caller sends a refused call again at once, up to this many times, as
  /// if it was a new one.
  int m_repeats = 0;
};

/// Load on a simulated fleet, and the policies that its entries and targets
/// use.
struct FakeLoad {
  size_t m_entries = 8;
  size_t m_replicas = 16;
  double m_calls_per_second = 215;
  Duration m_length = 20s;
  /// Whether targets queue slot requests and grant slots by urgency. Otherwise
  /// a target grants a slot at once or refuses it, in order of arrival.
  bool m_queue_at_targets = true;
  /// Whether entries refuse second attempts at once while they refuse first
  /// ones.
  bool m_shed_late_calls = true;
  /// In place of m_calls_per_second, unless empty.
  std::vector<FakeKind> m_kinds;
  bool m_uses_ranks = false;
  bool m_uses_shares = false;
  bool m_refuses_early = false;
  /// How many times slower than usual the replicas are, assigned cyclically;
  /// empty: none is slower.
  std::vector<double> m_paces;
  /// Whether speeds count when calls are placed.
  bool m_by_speed = false;
  /// Number of data centres, to which replicas and entries are assigned
  /// cyclically.
  size_t m_data_centers = 1;
  /// Share of the calls that arrive at entries of the first data centre; the
  /// others arrive at any other entry. 0: calls arrive at any entry.
  double m_first_share = 0;
};

/// Number of calls by outcome.
struct CallOutcomes {
  uint32_t m_asked = 0;
  uint32_t m_on_time = 0;
  uint32_t m_late = 0;
  uint32_t m_refused = 0;
  /// Sum of the times after which calls were refused for the first time, and
  /// their number.
  Duration m_refused_after{};
  uint32_t m_refused_first = 0;

  double Served() const {
    return static_cast<double>(m_on_time + m_late) / m_asked;
  }
  double OnTime() const { return static_cast<double>(m_on_time) / m_asked; }
  double Late() const { return static_cast<double>(m_late) / m_asked; }
};

/// Simulates entries, targets and replicas in virtual time, with the same
/// decision code as the programs. A caller whose call is refused retries once.
class FakeFleet {
 public:
  FakeFleet(const FakeLoad& load, uint64_t seed)
      : m_load(load), m_random(seed) {
    for (size_t r = 0; r < load.m_replicas; ++r) {
      m_targets.emplace_back();
      m_targets.back().m_queue.m_slots = m_engine.m_slots;
      m_targets.back().m_queue.m_prefill_rate =
          m_engine.m_prefill_rate / StatedPace(r);
      m_targets.back().m_replica.m_engine = SlowedEngine(Pace(r));
    }
    m_answered.resize(load.m_replicas);
    m_entries.resize(load.m_entries);
    m_late.resize(load.m_entries);
    for (size_t e = 0; e < m_entries.size(); ++e) {
      ReplicaPool& pool = m_entries[e];
      pool.m_prefill_rate = m_engine.m_prefill_rate;
      pool.m_data_center = DataCenter(e);
      pool.m_by_speed = load.m_by_speed;
      SetReplicas(pool, Replicas(), TimePoint(), m_now);
      for (size_t r = 0; r < load.m_replicas; ++r)
        StatePace(e, r);
    }
  }

  /// Runs the load. Returns the outcomes of all calls, and of the tenth with
  /// the longest prompts.
  std::pair<CallOutcomes, CallOutcomes> Play() {
    if (m_load.m_kinds.empty())
      AddCalls(m_load.m_calls_per_second, m_now, m_now + m_load.m_length, 0);
    for (size_t kind = 0; kind < m_load.m_kinds.size(); ++kind) {
      const FakeKind& calls = m_load.m_kinds[kind];
      AddCalls(calls.m_calls_per_second, m_now + calls.m_from,
               m_now + std::min(m_load.m_length, calls.m_until), kind);
    }
    while (!m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      event.m_what();
    }
    return {Count(0), Count(kLargeTokens)};
  }

  /// Outcomes of the calls of m_kinds[kind] after Play().
  CallOutcomes OfKind(size_t kind) const {
    return CountIf([kind](const Call& call) { return call.m_kind == kind; });
  }

  /// Calls that the replica has answered.
  uint32_t AnsweredAt(size_t replica) const { return m_answered[replica]; }

  /// A tenth of the prompts have more tokens than this.
  static constexpr uint32_t kLargeTokens = 2000;

 private:
  static constexpr Duration kNetworkDelay = 2ms;
  static constexpr Duration kObjective = 400ms;
  static constexpr Duration kSlack = 130ms;
  static constexpr Duration kLateWait = 250ms;
  static constexpr size_t kReservations = 2;

  struct Event {
    TimePoint m_at;
    uint64_t m_number;
    std::function<void()> m_what;
    bool operator<(const Event& other) const {
      return std::tie(m_at, m_number) > std::tie(other.m_at, other.m_number);
    }
  };
  struct Call {
    TimePoint m_started_at{};
    uint32_t m_prompt_tokens = 0;
    uint32_t m_events = 0;
    size_t m_entry = 0;
    int m_tries = 0;
    /// Number of times that the call has waited for a slot. A timer compares it
    /// to detect that the wait which it was set for is over.
    uint64_t m_wait = 0;
    bool m_waits = false;
    bool m_placed = false;
    bool m_began_to_answer = false;
    bool m_on_time = false;
    bool m_answered = false;
    size_t m_kind = 0;
    /// Targets that were asked for a slot in the current wait and haven't
    /// denied it.
    int m_open_requests = 0;
    int m_repeats = 0;
    TimePoint m_sent_at{};
    std::optional<Duration> m_refused_after;
  };
  struct Target {
    SlotQueue m_queue;
    ReplicaLoad m_load;
    FakeReplica m_replica;
    bool m_busy = false;
  };

  static std::string Name(size_t replica) { return std::to_string(replica); }
  static Endpoint EntryAddress(size_t entry) {
    return {"entry", static_cast<uint16_t>(entry)};
  }

  double Pace(size_t replica) const {
    return m_load.m_paces.empty()
               ? 1
               : m_load.m_paces[replica % m_load.m_paces.size()];
  }
  double StatedPace(size_t replica) const {
    return m_load.m_by_speed ? Pace(replica) : 1;
  }
  FakeEngine SlowedEngine(double pace) const {
    FakeEngine engine = m_engine;
    engine.m_step =
        std::chrono::duration_cast<Duration>(m_engine.m_step * pace);
    engine.m_step_per_call =
        std::chrono::duration_cast<Duration>(m_engine.m_step_per_call * pace);
    engine.m_prefill_rate /= pace;
    return engine;
  }
  std::string DataCenter(size_t index) const {
    return std::to_string(index % m_load.m_data_centers);
  }
  void StatePace(size_t entry, size_t replica) {
    ReplicaSpeed& speed = m_entries[entry].m_replicas.at(Name(replica)).m_speed;
    speed.m_stated_pace = StatedPace(replica);
    speed.m_stated_at = m_now;
  }

  /// An entry at which a call arrives.
  size_t PickEntry() {
    const size_t any = m_random() % m_entries.size();
    if (m_load.m_first_share == 0)
      return any;
    std::bernoulli_distribution first(m_load.m_first_share);
    const bool wants_first = first(m_random);
    size_t entry = any;
    while ((entry % m_load.m_data_centers == 0) != wants_first)
      entry = m_random() % m_entries.size();
    return entry;
  }

  std::vector<model::Replica> Replicas() const {
    std::vector<model::Replica> replicas(m_load.m_replicas);
    for (size_t r = 0; r < replicas.size(); ++r) {
      replicas[r].m_id = Name(r);
      replicas[r].m_endpoint = Endpoint(Name(r), 1);
      replicas[r].m_slots = m_engine.m_slots;
      replicas[r].m_data_center = DataCenter(r);
      replicas[r].m_weights["m"] = 1;
    }
    return replicas;
  }

  void Schedule(TimePoint at, std::function<void()> what) {
    m_events.push({at, m_next++, std::move(what)});
  }

  void AddCalls(double per_second,
                TimePoint from,
                TimePoint until,
                size_t kind) {
    std::exponential_distribution<double> gap(per_second);
    for (TimePoint at = from; at < until;
         at += std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(gap(m_random)))) {
      const uint64_t call = m_calls.size();
      m_calls.push_back(MakeCall(at));
      m_calls.back().m_kind = kind;
      if (const FakeKind* own = KindOf(call)) {
        m_calls.back().m_prompt_tokens = static_cast<uint32_t>(
            m_calls.back().m_prompt_tokens * own->m_prompt_scale);
      }
      Schedule(at, [this, call] { Try(call); });
    }
  }

  const FakeKind* KindOf(uint64_t number) const {
    return m_load.m_kinds.empty() ? nullptr
                                  : &m_load.m_kinds[m_calls[number].m_kind];
  }

  Call MakeCall(TimePoint at) {
    std::lognormal_distribution<double> tokens(6.6, 0.8);
    std::lognormal_distribution<double> events(2.75, 0.6);
    Call call;
    call.m_started_at = at;
    call.m_prompt_tokens =
        static_cast<uint32_t>(std::min(tokens(m_random), 3800.0)) + 40;
    call.m_events = static_cast<uint32_t>(std::min(events(m_random), 52.0)) + 1;
    return call;
  }

  Duration PrefillTime(const Call& call) const {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        call.m_prompt_tokens / m_engine.m_prefill_rate));
  }

  PoolCall PoolCallOf(uint64_t number) const {
    const Call& call = m_calls[number];
    PoolCall pool_call;
    pool_call.m_ticket = number;
    pool_call.m_prompt_tokens = call.m_prompt_tokens;
    pool_call.m_can_be_on_time = call.m_tries == 1;
    if (pool_call.m_can_be_on_time && m_load.m_queue_at_targets)
      pool_call.m_read_deadline = call.m_started_at + kObjective - kSlack;
    if (m_load.m_uses_ranks)
      pool_call.m_rank = KindOf(number)->m_rank;
    if (m_load.m_uses_shares)
      pool_call.m_organisation = KindOf(number)->m_organisation;
    return pool_call;
  }

  /// The caller sends the call to a random entry.
  void Try(uint64_t number) {
    Call& call = m_calls[number];
    ++call.m_tries;
    call.m_entry = PickEntry();
    if (call.m_tries > 1 && m_load.m_shed_late_calls &&
        ShedsLateCalls(m_late[call.m_entry], PoolCall(), m_now))
      return;
    const Duration wait_limit =
        call.m_tries == 1 ? kObjective - kSlack - PrefillTime(call) : kLateWait;
    call.m_waits = true;
    call.m_sent_at = m_now;
    const uint64_t wait = ++call.m_wait;
    const TimePoint until = m_now + std::max(wait_limit, Duration());
    Schedule(until, [this, number, wait] {
      if (m_calls[number].m_waits && m_calls[number].m_wait == wait)
        Refuse(number);
    });
    if (Place(number))
      return;
    AddWaitingCall(m_entries[call.m_entry], PoolCallOf(number));
    if (m_load.m_queue_at_targets)
      Reserve(number, until);
  }

  /// Acquires a slot in the view of the entry, and requests it from the target.
  /// False if the entry knows of none.
  bool Place(uint64_t number) {
    Call& call = m_calls[number];
    const auto replica = AcquireSlot(m_entries[call.m_entry],
                                     PoolCallOf(number), m_now, m_random);
    if (!replica)
      return false;
    RequestSlotAtTarget(number, std::stoul(*replica));
    return true;
  }

  void RequestSlotAtTarget(uint64_t number, size_t replica) {
    CallAt(number).m_waits = false;
    Schedule(m_now + kNetworkDelay, [this, number, replica] {
      Target& target = m_targets[replica];
      const SlotRequest slot_request = SlotRequestOf(number, m_now);
      const bool granted =
          RequestSlot(target.m_queue, slot_request, target.m_load, m_now) ==
          SlotVerdict::kGranted;
      if (granted)
        CountGranted(number, replica);
      Schedule(m_now + kNetworkDelay, [this, number, replica, granted] {
        HandleTargetReply(number, replica, granted);
      });
    });
  }

  SlotRequest SlotRequestOf(uint64_t number, TimePoint until) const {
    const PoolCall call = PoolCallOf(number);
    SlotRequest slot_request;
    slot_request.m_entry = EntryAddress(m_calls[number].m_entry);
    slot_request.m_ticket = number;
    slot_request.m_prompt_tokens = call.m_prompt_tokens;
    slot_request.m_can_be_on_time =
        call.m_can_be_on_time || !m_load.m_queue_at_targets;
    slot_request.m_read_deadline =
        slot_request.m_can_be_on_time ? call.m_read_deadline : m_now;
    if (slot_request.m_read_deadline == TimePoint::max())
      slot_request.m_read_deadline = m_now + std::chrono::hours(1);
    slot_request.m_until = until;
    slot_request.m_rank = call.m_rank.value_or(0);
    slot_request.m_organisation = call.m_organisation;
    slot_request.m_deny_early = m_load.m_refuses_early;
    return slot_request;
  }

  void CountGranted(uint64_t number, size_t replica) {
    ++m_targets[replica].m_load.m_calls;
    m_targets[replica].m_load.m_unread_tokens +=
        m_calls[number].m_prompt_tokens;
  }

  void HandleTargetReply(uint64_t number, size_t replica, bool granted) {
    Call& call = m_calls[number];
    ReplicaPool& pool = m_entries[call.m_entry];
    RefreshEntry(call.m_entry, replica);
    if (granted) {
      Start(number, replica);
      return;
    }
    NotePromptRead(pool, Name(replica), call.m_prompt_tokens);
    ReleaseSlot(pool, Name(replica), AttemptEnd::kNoSlot, m_now);
    const TimePoint until = call.m_tries == 1 ? call.m_started_at + kObjective -
                                                    kSlack - PrefillTime(call)
                                              : m_now;
    if (until <= m_now) {
      Refuse(number);
      return;
    }
    call.m_waits = true;
    const uint64_t wait = ++call.m_wait;
    Schedule(until, [this, number, wait] {
      if (m_calls[number].m_waits && m_calls[number].m_wait == wait)
        Refuse(number);
    });
    if (Place(number))
      return;
    AddWaitingCall(pool, PoolCallOf(number));
    if (m_load.m_queue_at_targets)
      Reserve(number, until);
  }

  /// Queues slot requests for the call at kReservations targets.
  void Reserve(uint64_t number, TimePoint until) {
    Call& call = m_calls[number];
    call.m_open_requests = 0;
    for (const std::string& replica :
         ReplicasToWaitAt(m_entries[call.m_entry], PoolCallOf(number),
                          kReservations, m_now, m_random)) {
      const size_t index = std::stoul(replica);
      ++call.m_open_requests;
      Schedule(m_now + kNetworkDelay, [this, number, index, until] {
        Target& target = m_targets[index];
        if (!m_calls[number].m_waits)
          return;  // It was withdrawn.
        const SlotVerdict verdict = RequestSlot(
            target.m_queue, SlotRequestOf(number, until), target.m_load, m_now);
        if (verdict == SlotVerdict::kGranted)
          SendGrant(number, index);
        if (verdict == SlotVerdict::kDenied)
          SendDenial(number);
        for (const SlotRequest& displaced :
             TakeDisplaced(target.m_queue, m_now))
          SendDenial(displaced.m_ticket);
      });
    }
  }

  /// The entry refuses the call if all targets that it asked have denied it a
  /// slot.
  void SendDenial(uint64_t number) {
    if (!m_load.m_refuses_early)
      return;
    Schedule(m_now + kNetworkDelay, [this, number,
                                     wait = m_calls[number].m_wait] {
      Call& call = m_calls[number];
      if (!call.m_waits || call.m_wait != wait || --call.m_open_requests > 0)
        return;
      Wake(call.m_entry);
      if (call.m_waits)
        Refuse(number);
    });
  }

  /// Sends a grant to the entry of a waiting call.
  void SendGrant(uint64_t number, size_t replica) {
    CountGranted(number, replica);
    Schedule(m_now + kNetworkDelay, [this, number, replica] {
      Call& call = m_calls[number];
      if (!call.m_waits) {
        // The call has a slot elsewhere: release this one.
        Schedule(m_now + kNetworkDelay, [this, number, replica] {
          ReleaseReplicaSlot(replica, m_calls[number].m_prompt_tokens);
        });
        return;
      }
      ReplicaPool& pool = m_entries[call.m_entry];
      RemoveWaitingCall(pool, number);
      AddGrantedSlot(pool, Name(replica), PoolCallOf(number), m_now);
      Start(number, replica);
    });
  }

  void ReleaseReplicaSlot(size_t replica, uint32_t unread) {
    Target& target = m_targets[replica];
    --target.m_load.m_calls;
    target.m_load.m_unread_tokens -= unread;
    if (m_load.m_uses_ranks || m_load.m_uses_shares)
      Schedule(m_now + kPrecedenceHold,
               [this, replica] { GrantWaiting(replica); });
    GrantWaiting(replica);
  }

  void GrantWaiting(size_t replica) {
    Target& target = m_targets[replica];
    for (const SlotRequest& slot_request :
         GrantSlots(target.m_queue, target.m_load, m_now))
      SendGrant(slot_request.m_ticket, replica);
  }

  void Start(uint64_t number, size_t replica) {
    Call& call = CallAt(number);
    call.m_waits = false;
    Schedule(m_now + kNetworkDelay, [this, number, replica] {
      const Call& started = m_calls[number];
      m_targets[replica].m_replica.m_queued.push_back(
          {number, started.m_prompt_tokens, started.m_events});
      RunPass(replica);
    });
  }

  void RunPass(size_t replica) {
    Target& target = m_targets[replica];
    if (target.m_busy)
      return;
    const Duration pass = target.m_replica.BeginPass();
    if (pass == Duration())
      return;
    target.m_busy = true;
    Schedule(m_now + pass, [this, replica] {
      Target& done = m_targets[replica];
      done.m_busy = false;
      for (const FakeCall& run : done.m_replica.EndPass())
        HandleEvent(run, replica);
      RunPass(replica);
    });
  }

  void HandleEvent(const FakeCall& run, size_t replica) {
    Call& call = CallAt(run.m_call);
    ReplicaPool& pool = m_entries[call.m_entry];
    if (!call.m_began_to_answer) {
      call.m_began_to_answer = true;
      call.m_on_time = m_now + kNetworkDelay - call.m_started_at <= kObjective;
      NotePromptRead(pool, Name(replica), call.m_prompt_tokens);
      const uint32_t tokens = call.m_prompt_tokens;
      Schedule(m_now + kNetworkDelay, [this, replica, tokens] {
        m_targets[replica].m_load.m_unread_tokens -= tokens;
        GrantWaiting(replica);
      });
    }
    if (run.m_events_left > 0)
      return;
    call.m_answered = true;
    ++m_answered[replica];
    ReleaseSlot(pool, Name(replica), AttemptEnd::kGood, m_now);
    const size_t entry = call.m_entry;
    Schedule(m_now + kNetworkDelay,
             [this, replica] { ReleaseReplicaSlot(replica, 0); });
    // The entry of the call is updated at once, the others after two network
    // delays.
    Wake(entry);
    Schedule(m_now + 2 * kNetworkDelay, [this, replica] {
      for (size_t other = 0; other < m_entries.size(); ++other) {
        RefreshEntry(other, replica);
        Wake(other);
      }
    });
  }

  /// Updates what an entry knows of the calls of the other entries at a
  /// replica.
  void RefreshEntry(size_t entry, size_t replica) {
    ReplicaState& state = m_entries[entry].m_replicas.at(Name(replica));
    const Target& target = m_targets[replica];
    state.m_other_entries_calls =
        target.m_load.m_calls -
        std::min(target.m_load.m_calls, state.m_in_flight);
    state.m_other_entries_unread_tokens =
        target.m_load.m_unread_tokens -
        std::min(target.m_load.m_unread_tokens, state.m_unread_tokens);
    state.m_queued_calls =
        static_cast<uint32_t>(target.m_queue.m_slot_requests.size());
    StatePace(entry, replica);
  }

  void Wake(size_t entry) {
    for (const StartedCall& start :
         StartWaitingCalls(m_entries[entry], m_now, m_random))
      RequestSlotAtTarget(start.m_ticket, std::stoul(start.m_replica));
  }

  /// Refuses the call. Its caller retries once.
  void Refuse(uint64_t number) {
    Call& call = CallAt(number);
    call.m_waits = false;
    RemoveWaitingCall(m_entries[call.m_entry], number);
    for (Target& target : m_targets)
      WithdrawRequest(target.m_queue, EntryAddress(call.m_entry), number,
                      m_now);
    if (call.m_tries > 1)
      return;
    if (!call.m_refused_after)
      call.m_refused_after = m_now - call.m_sent_at;
    NoteOnTimeRefusal(m_late[call.m_entry], PoolCall(), m_now);
    if (KindOf(number) && call.m_repeats < KindOf(number)->m_repeats) {
      ++call.m_repeats;
      call.m_tries = 0;
      call.m_started_at = m_now;
      Schedule(m_now + 2 * kNetworkDelay, [this, number] { Try(number); });
      return;
    }
    std::uniform_int_distribution<int> pause(300, 1500);
    Schedule(m_now + std::chrono::milliseconds(pause(m_random)),
             [this, number] { Try(number); });
  }

  Call& CallAt(uint64_t number) { return m_calls[number]; }

  CallOutcomes Count(uint32_t least_tokens) const {
    return CountIf([least_tokens](const Call& call) {
      return call.m_prompt_tokens >= least_tokens;
    });
  }

  template <typename Which>
  CallOutcomes CountIf(Which which) const {
    CallOutcomes count;
    for (const Call& call : m_calls) {
      if (!which(call))
        continue;
      if (call.m_refused_after) {
        ++count.m_refused_first;
        count.m_refused_after += *call.m_refused_after;
      }
      ++count.m_asked;
      if (!call.m_answered)
        ++count.m_refused;
      else if (call.m_on_time)
        ++count.m_on_time;
      else
        ++count.m_late;
    }
    return count;
  }

  const FakeLoad m_load;
  const FakeEngine m_engine;
  std::mt19937_64 m_random;
  TimePoint m_now = TimePoint() + 3600s;
  uint64_t m_next = 0;
  std::priority_queue<Event> m_events;
  std::vector<Call> m_calls;
  std::vector<ReplicaPool> m_entries;
  /// By entry.
  std::vector<LateCallShedding> m_late;
  std::vector<Target> m_targets;
  /// Answered calls by replica.
  std::vector<uint32_t> m_answered;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PLACEMENT_FAKE_FLEET_H_
