#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <queue>

#include "decide/admission/call_policy.h"
#include "decide/placement/replica_pool.h"
#include "decide/rollout/load_turn.h"

namespace verbenalead::decide {
namespace {

constexpr size_t kReplicas = 40;
constexpr uint32_t kSlots = 8;
constexpr double kPrefillRate = 20400;
constexpr Duration kLoadSpread = 4400ms;
constexpr Duration kClosingNotice = 1200ms;
constexpr Duration kLoad = 300ms;
constexpr Duration kBoundAfterEnd = 700ms;
/// Drain times in which half of the streams and nearly all streams end.
constexpr Duration kShortDrain = 550ms;
constexpr Duration kLongDrain = 1500ms;
/// Interval at which a waiting call retries to acquire a slot, and a draining
/// replica checks whether its streams have ended.
constexpr Duration kLook = 20ms;

/// Numbers of streams of a rollout by their result.
struct Outcome {
  int m_asked = 0;
  /// Streams that completed.
  int m_whole = 0;
  /// Interruptions after which the stream was placed again.
  int m_interrupted = 0;
  /// Streams that were interrupted and not completed.
  int m_lost = 0;
  /// Streams that found no slot at their start.
  int m_refused = 0;
};

/// Simulates, in virtual time, streams on replicas that load new weights one
/// after another. The code under test places the streams. An interrupted stream
/// continues at another replica; each stream uses two replicas at most.
class Rollout {
 public:
  /// `streams_per_second` is the total rate of new streams; one replica
  /// sustains seven per second. `drain` is how long streams may continue at a
  /// replica that is about to load; nullopt uses DrainTime().
  Rollout(double streams_per_second,
          std::optional<Duration> drain,
          uint64_t seed)
      : m_drain(drain), m_random(seed) {
    m_pool.m_prefill_rate = kPrefillRate;
    std::vector<model::Replica> replicas(kReplicas);
    for (size_t r = 0; r < kReplicas; ++r) {
      replicas[r].m_id = std::to_string(r);
      replicas[r].m_endpoint = Endpoint(std::to_string(r), 1);
      replicas[r].m_slots = kSlots;
      replicas[r].m_weights["m"] = 1;
      const TimePoint load_start =
          m_first_load_at +
          kLoadSpread * static_cast<int>(r) / static_cast<int>(kReplicas - 1);
      PlanLoad(std::to_string(r), load_start);
    }
    SetReplicas(m_pool, replicas, TimePoint(), m_now);
    std::exponential_distribution<double> gap(streams_per_second);
    for (TimePoint at = m_now; at < m_now + 8s;
         at += std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(gap(m_random)))) {
      const size_t number = m_streams.size();
      m_streams.push_back(NewStream());
      At(at, [this, number] { Begin(number); });
    }
  }

  Outcome Play() {
    while (!m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      event.m_what();
    }
    return m_outcome;
  }

 private:
  struct Event {
    TimePoint m_at;
    uint64_t m_number;
    std::function<void()> m_what;
    bool operator<(const Event& other) const {
      return std::tie(m_at, m_number) > std::tie(other.m_at, other.m_number);
    }
  };
  struct Stream {
    PoolCall m_call;
    CallProgress m_progress;
    Duration m_remaining{};
    std::string m_replica;
    TimePoint m_placed_at{};
    uint64_t m_run = 0;
  };

  void At(TimePoint at, std::function<void()> what) {
    m_events.push({at, m_next++, std::move(what)});
  }

  Stream NewStream() {
    std::uniform_int_distribution<int> length(500, 1700);
    Stream stream;
    stream.m_remaining = std::chrono::milliseconds(length(m_random));
    stream.m_call.m_ticket = m_streams.size();
    stream.m_call.m_prompt_tokens = 900;
    stream.m_call.m_expected_run_time = stream.m_remaining;
    stream.m_progress.m_kind = model::CallKind::kStream;
    stream.m_progress.m_resumable = true;
    stream.m_progress.m_max_attempts = 2;
    return stream;
  }

  void PlanLoad(const std::string& id, TimePoint load_start) {
    At(load_start - kClosingNotice,
       [this, id, load_start] { State(id).m_closing_until = load_start; });
    At(load_start, [this, id] {
      State(id).m_loading_until = TimePoint::max();
      const TimePoint last = m_first_load_at + kLoadSpread;
      const LoadWindow window = {m_first_load_at, last, last + kBoundAfterEnd,
                                 kLoad, Utilisation()};
      Drain(id, m_now + m_drain.value_or(DrainTime(window)));
    });
  }

  double Utilisation() const {
    const PoolLoad load = LoadOf(m_pool, m_now);
    return static_cast<double>(load.m_used_slots) / load.m_slots;
  }

  /// Starts the load once all streams have ended, at the latest at `end`.
  void Drain(const std::string& id, TimePoint end) {
    if (State(id).m_in_flight > 0 && m_now < end) {
      At(m_now + kLook, [this, id, end] { Drain(id, end); });
      return;
    }
    BreakOff(id);
    State(id).m_loading_until = m_now + kLoad;
  }

  ReplicaState& State(const std::string& id) {
    return m_pool.m_replicas.at(id);
  }

  void Begin(size_t number) {
    ++m_outcome.m_asked;
    m_streams[number].m_call.m_read_deadline = m_now + 400ms;
    Place(number, m_now + 300ms);
  }

  void Place(size_t number, TimePoint until) {
    Stream& stream = m_streams[number];
    const auto replica = AcquireSlot(m_pool, stream.m_call, m_now, m_random);
    if (!replica) {
      if (m_now + kLook <= until)
        At(m_now + kLook, [this, number, until] { Place(number, until); });
      else
        ++(stream.m_progress.m_possible_runs > 0 ? m_outcome.m_lost
                                                 : m_outcome.m_refused);
      return;
    }
    stream.m_replica = *replica;
    stream.m_placed_at = m_now;
    stream.m_call.m_attempted_replicas.insert(*replica);
    ++stream.m_progress.m_sent_attempts;
    ++stream.m_progress.m_possible_runs;
    At(m_now + 150ms,
       [this, replica = *replica] { NotePromptRead(m_pool, replica, 900); });
    const uint64_t run = ++stream.m_run;
    At(m_now + 150ms + stream.m_remaining, [this, number, run] {
      if (m_streams[number].m_run == run)
        End(number);
    });
  }

  void End(size_t number) {
    ReleaseSlot(m_pool, m_streams[number].m_replica, AttemptEnd::kGood, m_now);
    m_streams[number].m_replica.clear();
    ++m_outcome.m_whole;
  }

  void BreakOff(const std::string& id) {
    for (size_t number = 0; number < m_streams.size(); ++number) {
      Stream& stream = m_streams[number];
      if (stream.m_replica != id)
        continue;
      ++stream.m_run;
      stream.m_replica.clear();
      ReleaseSlot(m_pool, id, AttemptEnd::kAbandoned, m_now);
      if (!MayRetry(stream.m_progress, AttemptEnd::kBroken)) {
        ++m_outcome.m_lost;
        continue;
      }
      stream.m_remaining -= std::min<Duration>(
          stream.m_remaining, m_now - stream.m_placed_at - 150ms);
      ++m_outcome.m_interrupted;
      PrepareRetry(stream.m_call, kPrefillRate, m_now);
      Place(number, m_now + RetryWait(stream.m_progress));
    }
  }

  const std::optional<Duration> m_drain;
  std::mt19937_64 m_random;
  TimePoint m_now = TimePoint() + 3600s;
  const TimePoint m_first_load_at = m_now + 2s;
  uint64_t m_next = 0;
  std::priority_queue<Event> m_events;
  std::vector<Stream> m_streams;
  ReplicaPool m_pool;
  Outcome m_outcome;
};

Outcome Play(double share_of_capacity, std::optional<Duration> drain) {
  const double streams = share_of_capacity * 7 * kReplicas;
  Outcome sum;
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    const Outcome one = Rollout(streams, drain, seed).Play();
    sum.m_asked += one.m_asked;
    sum.m_whole += one.m_whole;
    sum.m_interrupted += one.m_interrupted;
    sum.m_lost += one.m_lost;
    sum.m_refused += one.m_refused;
  }
  std::cout << share_of_capacity << " of capacity, drained for "
            << (drain ? std::to_string(ToMilliseconds(*drain)) : "as many")
            << " ms: asked " << sum.m_asked << ", whole " << sum.m_whole
            << ", broken off " << sum.m_interrupted << ", lost " << sum.m_lost
            << ", refused " << sum.m_refused << "\n";
  return sum;
}

class RolloutLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutLoadTest);
  CPPUNIT_TEST(StreamsEndWithCapacityElsewhere);
  CPPUNIT_TEST(LoadsSoonerNearCapacity);
  CPPUNIT_TEST(InterruptedCallFindsFreeSlot);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against streams that are interrupted or lost during a rollout. A
  // replica loads new weights, its streams continue at another replica, and
  // that one loads next. At half of the pool's capacity, at most one stream in
  // a hundred may be interrupted and none may be lost.
  void StreamsEndWithCapacityElsewhere() {
    const Outcome before = Play(0.5, kShortDrain);
    const Outcome after = Play(0.5, std::nullopt);
    CPPUNIT_ASSERT(after.m_interrupted < before.m_interrupted);
    CPPUNIT_ASSERT(after.m_interrupted * 100 <= after.m_asked);
    CPPUNIT_ASSERT_EQUAL(0, after.m_lost);
    CPPUNIT_ASSERT_EQUAL(0, after.m_refused);
  }

  // Guards against refusing calls while replicas wait for a few streams to end.
  // Close to the pool's capacity every replica is needed, so that a replica has
  // to start its load sooner.
  void LoadsSoonerNearCapacity() {
    const Outcome long_drain = Play(0.9, kLongDrain);
    const Outcome after = Play(0.9, std::nullopt);
    CPPUNIT_ASSERT(after.m_refused < long_drain.m_refused);
  }

  // Guards against failing an interrupted call although slots are free. The
  // call was interrupted before its first event, and the time by which its
  // prompt had to be read has passed when it is placed again.
  void InterruptedCallFindsFreeSlot() {
    ReplicaPool pool;
    pool.m_prefill_rate = kPrefillRate;
    model::Replica replica;
    replica.m_id = "1";
    replica.m_endpoint = Endpoint("1", 1);
    replica.m_slots = kSlots;
    SetReplicas(pool, {replica}, TimePoint(), TimePoint() + 9s);
    PoolCall call;
    call.m_prompt_tokens = 900;
    call.m_read_deadline = TimePoint() + 9s;
    std::mt19937_64 random(7);
    const TimePoint now = TimePoint() + 10s;
    CPPUNIT_ASSERT(!AcquireSlot(pool, call, now, random));
    PrepareRetry(call, kPrefillRate, now);
    CPPUNIT_ASSERT(!call.m_can_be_on_time);
    CPPUNIT_ASSERT(AcquireSlot(pool, call, now, random));
    // A call that can still be on time remains marked as on time.
    call.m_can_be_on_time = true;
    call.m_read_deadline = now + 100ms;
    PrepareRetry(call, kPrefillRate, now);
    CPPUNIT_ASSERT(call.m_can_be_on_time);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutLoadTest);

}  // namespace
}  // namespace verbenalead::decide
