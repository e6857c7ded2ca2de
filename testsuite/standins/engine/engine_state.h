#ifndef VERBENALEAD_STANDINS_ENGINE_ENGINE_STATE_H_
#define VERBENALEAD_STANDINS_ENGINE_ENGINE_STATE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "base/digest.h"

namespace verbenalead::standins {

/// The weights that a stand-in engine serves, and its counters.
struct EngineState {
  std::mutex m_mutex;
  std::string m_model;
  std::string m_version;
  Digest m_digest;
  uint64_t m_fencing_token = 0;
  uint32_t m_running = 0;
  uint64_t m_tokens = 0;
  /// Runs by request id, which tests compare with the reported outcomes.
  std::map<std::string, int64_t> m_runs;
};

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_ENGINE_ENGINE_STATE_H_
