#ifndef VERBENALEAD_ENTRY_CALL_PLAN_H_
#define VERBENALEAD_ENTRY_CALL_PLAN_H_

#include <cstdint>
#include <string>

#include "base/time.h"
#include "decide/call_policy.h"
#include "model/inbound_call.h"
#include "model/route.h"

namespace verbenalead::entry {

/// What is decided of a call when it is admitted. Later configurations don't
/// change it.
struct CallPlan {
  model::InboundCall m_call;
  model::Route m_route;
  std::string m_service;
  /// Empty: a plain service.
  std::string m_model;
  std::string m_organisation;
  uint64_t m_config_version = 0;
  uint64_t m_fingerprint = 0;
  decide::Patience m_patience;
  /// How long ago its caller began, by what the caller says is left.
  Duration m_elapsed{};
  /// How long it is likely to run; zero: not known.
  Duration m_length{};
  TimePoint m_began{};
  /// When the caller, or the route, gives up.
  TimePoint m_deadline{};
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_CALL_PLAN_H_
