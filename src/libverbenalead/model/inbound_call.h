#ifndef VERBENALEAD_MODEL_INBOUND_CALL_H_
#define VERBENALEAD_MODEL_INBOUND_CALL_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"

namespace verbenalead::model {

/// What an entry needs to know of a caller's request.
struct InboundCall {
  std::string m_id;
  std::string m_host;
  /// Without the query.
  std::string m_path;
  /// Empty: the caller sent none.
  std::string m_key;
  /// How long the caller will wait from now on.
  std::optional<Duration> m_time_left;
  uint32_t m_prompt_tokens = 0;
  /// The caller's guess, or the most that it asks for.
  uint32_t m_output_tokens = 0;
  /// The last event of a broken stream that the caller has; empty: none.
  std::string m_last_event;

  friend bool operator==(const InboundCall&, const InboundCall&) = default;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_INBOUND_CALL_H_
