#ifndef VERBENALEAD_STANDINS_PLATFORM_REPLICA_REPLICA_H_
#define VERBENALEAD_STANDINS_PLATFORM_REPLICA_REPLICA_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/settings.h"
#include "base/time.h"

namespace verbenalead::standins {

/// A call that arrived at a simulated replica.
struct Arrival {
  TimePoint m_at{};
  std::string m_call;
  /// `Retry-After` of the response; empty: none.
  std::string m_retry_after;
  /// The response stated that the replica is leaving.
  bool m_said_leaving = false;
};

/// State of a simulated replica of the users' platform: an engine with a
/// staging area for weights, or a plain service.
struct Replica {
  explicit Replica(const Settings& settings);

  const std::string m_id;
  const std::string m_service;
  const std::string m_model;
  const std::string m_data_center;
  /// Address that it registers, at which clients reach it.
  const Endpoint m_announced_address;
  const Endpoint m_store;
  const uint32_t m_slots;
  /// Time between two events of a stream.
  const Duration m_event_interval;
  /// Stated pace in percent; 0: none.
  const int64_t m_pace_percent;
  /// Time from the start of a stream to its head.
  const Duration m_prefill_duration;
  /// Id of the part of a prompt under which the process ends; empty: none.
  const std::string m_crash_part;
  /// Time from the start of a call of a plain service to its response.
  const Duration m_call_duration;
  const Duration m_load_duration;
  const uint64_t m_started_ms;
  /// Version of the loaded weights; 0: none.
  uint64_t m_version = 0;
  std::map<uint32_t, std::string> m_staged;
  uint64_t m_accepted_orders = 0;
  bool m_loading = false;
  bool m_leaving = false;
  uint32_t m_active = 0;
  uint64_t m_runs = 0;
  /// Rate limit that its answers name, as the text of the header field; empty:
  /// none.
  std::string m_rate_limit;
  /// Text with which its answers state that it is leaving; empty: they don't.
  /// Its row in the store doesn't show it.
  std::string m_leaving_text;
  /// If not empty, it turns all calls away and asks for a rest of this many
  /// seconds, as the text of the header field.
  std::string m_rest;
  /// Percentage of the calls whose connections it closes without an answer.
  uint32_t m_cut_percent = 0;
  /// Percentage of the runs that it ends with a status of its own, and that
  /// status. Its answer doesn't state that the call was not executed.
  uint32_t m_failed_percent = 0;
  int m_failed_status = 500;
  /// End of the time for which it is cold, as its row, its reports and its
  /// answers say; it may be in the past.
  TimePoint m_cold_until{};
  /// While it is cold, more calls than this in any second crash it; 0: none
  /// do. Calls meant for another replica don't count.
  uint32_t m_cold_calls = 0;
  /// The latest calls that count, at most m_cold_calls.
  std::deque<TimePoint> m_counted;
  /// All calls, whatever became of them.
  std::vector<Arrival> m_arrivals;
  /// Loads in which a staged chunk was missing or not that of the version.
  uint64_t m_bad_loads = 0;
};

/// How much longer the replica is cold.
Duration ColdLeft(const Replica& replica);

/// The row by which the replica registers in the store.
std::string EncodeRow(const Replica& replica);
/// The response to GET /report.
std::string EncodeReport(const Replica& replica);

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_PLATFORM_REPLICA_REPLICA_H_
