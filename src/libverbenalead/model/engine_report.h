#ifndef VERBENALEAD_MODEL_ENGINE_REPORT_H_
#define VERBENALEAD_MODEL_ENGINE_REPORT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"

namespace verbenalead::model {

/// The status that an engine returns when it is polled.
struct EngineReport {
  /// Start time in Unix milliseconds; 0 if the engine does not report one.
  uint64_t m_started_ms = 0;
  /// Version of the weights by model; only models that are completely loaded.
  std::map<std::string, uint64_t> m_weights;
  /// Whether an order to load weights is being executed.
  bool m_loading = false;
  /// Number of orders to load weights begun since the engine started.
  uint64_t m_orders = 0;
  /// The engine states that it is leaving.
  bool m_leaving = false;
  /// How much longer the engine is cold; absent if it doesn't say.
  std::optional<Duration> m_cold_left;
  /// How many times slower than usual the engine works, as it states; absent if
  /// it doesn't.
  std::optional<double> m_pace;
  uint32_t m_queued = 0;
  uint32_t m_active = 0;

  friend bool operator==(const EngineReport&, const EngineReport&) = default;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_ENGINE_REPORT_H_
