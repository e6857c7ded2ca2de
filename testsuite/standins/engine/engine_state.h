#ifndef VERBENALEAD_STANDINS_ENGINE_ENGINE_STATE_H_
#define VERBENALEAD_STANDINS_ENGINE_ENGINE_STATE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "base/digest.h"

namespace verbenalead::standins {

/// What a stand-in engine serves and has done.
struct EngineState {
  std::mutex m_mutex;
  std::string m_model;
  std::string m_version;
  Digest m_digest;
  uint64_t m_fence = 0;
  uint32_t m_running = 0;
  uint64_t m_tokens = 0;
  /// Runs by request id, for the oracle of tests.
  std::map<std::string, int64_t> m_runs;
};

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_ENGINE_ENGINE_STATE_H_
