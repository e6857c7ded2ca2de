#ifndef VERBENALEAD_MODEL_ENGINE_PROFILE_H_
#define VERBENALEAD_MODEL_ENGINE_PROFILE_H_

#include <cstdint>
#include <string>

#include "base/time.h"

namespace verbenalead::model {

/// The model that the replicas of a service run, how fast, and how its weights
/// are cut into chunks.
struct EngineProfile {
  std::string m_model;
  /// Calls in one batch.
  uint32_t m_slots = 0;
  /// Prompt tokens read in one second.
  double m_prefill_rate = 0;
  /// Time of one step of a batch that writes.
  Duration m_step{};
  /// Steps between two looks at the queue.
  uint32_t m_stride = 1;
  uint32_t m_chunks = 0;
  uint64_t m_chunk_bytes = 0;
  /// Time that a load of all layers takes.
  Duration m_load{};

  friend bool operator==(const EngineProfile&, const EngineProfile&) = default;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_ENGINE_PROFILE_H_
