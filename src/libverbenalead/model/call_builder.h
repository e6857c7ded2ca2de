#ifndef VERBENALEAD_MODEL_CALL_BUILDER_H_
#define VERBENALEAD_MODEL_CALL_BUILDER_H_

#include <utility>

#include "model/call.h"

namespace verbenalead::model {

/// Builds a Call.
class CallBuilder {
 public:
  CallBuilder& Id(std::string id) {
    m_call.m_id = std::move(id);
    return *this;
  }
  CallBuilder& Instance(std::string instance) {
    m_call.m_instance = std::move(instance);
    return *this;
  }
  CallBuilder& Organisation(std::string organisation) {
    m_call.m_organisation = std::move(organisation);
    return *this;
  }
  CallBuilder& Weight(double weight) {
    m_call.m_weight = weight;
    return *this;
  }
  CallBuilder& Pool(std::string pool) {
    m_call.m_pool = std::move(pool);
    return *this;
  }
  CallBuilder& Urgency(int urgency) {
    m_call.m_urgency = urgency;
    return *this;
  }
  CallBuilder& Deadline(TimePoint deadline) {
    m_call.m_deadline = deadline;
    return *this;
  }
  /// Marks the call as at-most-once under `key`.
  CallBuilder& NotIdempotent(std::string key) {
    m_call.m_idempotent = false;
    m_call.m_idempotency_key = std::move(key);
    return *this;
  }
  CallBuilder& Fingerprint(uint64_t fingerprint) {
    m_call.m_fingerprint = fingerprint;
    return *this;
  }
  CallBuilder& Prefix(uint64_t prefix) {
    m_call.m_prefix = prefix;
    return *this;
  }
  CallBuilder& ExpectedTokens(uint32_t tokens) {
    m_call.m_expected_tokens = tokens;
    return *this;
  }

  model::Call Build() const { return m_call; }

 private:
  model::Call m_call;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_CALL_BUILDER_H_
