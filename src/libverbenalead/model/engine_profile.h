#ifndef VERBENALEAD_MODEL_ENGINE_PROFILE_H_
#define VERBENALEAD_MODEL_ENGINE_PROFILE_H_

#include <cstdint>
#include <string>

#include "base/time.h"

namespace verbenalead::model {

/// Describes the model that the replicas of a service run: its speed, and how
/// its weights are split into chunks.
struct EngineProfile {
  std::string m_model;
  /// Slots of a replica: the number of calls in one batch.
  uint32_t m_slots = 0;
  /// Prompt tokens processed per second.
  double m_prefill_rate = 0;
  /// Duration of one decoding step of a batch.
  Duration m_step{};
  /// Number of decoding steps between two checks of the queue for new calls.
  uint32_t m_stride = 1;
  uint32_t m_chunks = 0;
  uint64_t m_chunk_bytes = 0;
  /// Time to load all layers of the weights.
  Duration m_load{};

  friend bool operator==(const EngineProfile&, const EngineProfile&) = default;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_ENGINE_PROFILE_H_
