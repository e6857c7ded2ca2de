#ifndef VERBENALEAD_STANDINS_PLATFORM_REPLICA_REPLICA_H_
#define VERBENALEAD_STANDINS_PLATFORM_REPLICA_REPLICA_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/endpoint.h"
#include "base/settings.h"
#include "base/time.h"

namespace verbenalead::standins {

/// A replica of the users' platform: an engine with staged weights, or a plain
/// service.
struct Replica {
  explicit Replica(const Settings& settings);

  const std::string m_id;
  const std::string m_service;
  const std::string m_model;
  const std::string m_data_center;
  /// Where callers reach it.
  const Endpoint m_self;
  const Endpoint m_store;
  const uint32_t m_slots;
  /// Time between two events of a stream.
  const Duration m_event;
  /// Time from the start of a plain call to its answer.
  const Duration m_work;
  const Duration m_load;
  const uint64_t m_started_ms;
  /// 0: none.
  uint64_t m_version = 0;
  std::map<uint32_t, std::string> m_staged;
  uint64_t m_orders = 0;
  bool m_loading = false;
  bool m_leaving = false;
  uint32_t m_active = 0;
  uint64_t m_runs = 0;
  /// Loads of chunks that weren't those of the version.
  uint64_t m_bad_loads = 0;
};

/// What the replica writes of itself into the store.
std::string EncodeRow(const Replica& replica);
std::string EncodeReport(const Replica& replica);

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_PLATFORM_REPLICA_REPLICA_H_
