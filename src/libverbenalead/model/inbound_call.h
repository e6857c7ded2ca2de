#ifndef VERBENALEAD_MODEL_INBOUND_CALL_H_
#define VERBENALEAD_MODEL_INBOUND_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace verbenalead::model {

/// The properties of a caller's request that an entry needs to route it.
struct InboundCall {
  std::string m_id;
  std::string m_host;
  /// Path of the request without the query.
  std::string m_path;
  /// The caller's API key; empty if the caller sent none.
  std::string m_api_key;
  /// How long the caller will still wait; absent if it did not say.
  std::optional<Duration> m_time_left;
  uint32_t m_prompt_tokens = 0;
  /// The caller's estimate of the output length, or the maximum it requests.
  uint32_t m_output_tokens = 0;
  /// Ids of the parts of its prompt that other requests may share, in order and
  /// each once: all but the last one, which is the request's own.
  std::vector<std::string> m_shared_parts;
  /// Id of the last event that the caller received of a broken stream; empty if
  /// the call does not resume a stream.
  std::string m_last_event;

  friend bool operator==(const InboundCall&, const InboundCall&) = default;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_INBOUND_CALL_H_
