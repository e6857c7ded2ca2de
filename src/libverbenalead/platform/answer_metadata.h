#ifndef VERBENALEAD_PLATFORM_ANSWER_METADATA_H_
#define VERBENALEAD_PLATFORM_ANSWER_METADATA_H_

#include <cstdint>
#include <optional>
#include <string>

#include "model/replica_statements.h"

namespace verbenalead::platform {

/// What the header fields of a replica's answer state, beside its status: which
/// request it answers, whether that request ran, with which weights, and what
/// the replica says of itself. An entry uses it to discard answers to other
/// requests, to decide on retries and to choose replicas.
struct AnswerMetadata {
  /// Id of the request that the answer belongs to; empty if not stated.
  std::string m_request_id;
  /// The replica states that it did not run the request and never will.
  bool m_not_run = false;
  /// The answer carries the header field with the replica's signature.
  bool m_signed = false;
  /// Version of the weights that the replica used; absent if not stated.
  std::optional<uint64_t> m_weights;
  model::ReplicaStatements m_statements;

  friend bool operator==(const AnswerMetadata&,
                         const AnswerMetadata&) = default;
};

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_ANSWER_METADATA_H_
