#ifndef VERBENALEAD_MODEL_ENGINE_REPORT_H_
#define VERBENALEAD_MODEL_ENGINE_REPORT_H_

#include <cstdint>
#include <map>
#include <string>

namespace verbenalead::model {

/// What an engine says of itself when it is asked.
struct EngineReport {
  /// Unix milliseconds of its start; 0 where it tells none.
  uint64_t m_started_ms = 0;
  /// Version of the weights by model, of those that are loaded whole.
  std::map<std::string, uint64_t> m_weights;
  /// An order is being carried out.
  bool m_loading = false;
  /// Orders that have begun since its start.
  uint64_t m_orders = 0;
  uint32_t m_queued = 0;
  uint32_t m_active = 0;

  friend bool operator==(const EngineReport&, const EngineReport&) = default;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_ENGINE_REPORT_H_
