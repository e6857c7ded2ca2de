#ifndef VERBENALEAD_MODEL_ROUTE_H_
#define VERBENALEAD_MODEL_ROUTE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "model/call_kind.h"
#include "model/service_share.h"

namespace verbenalead::model {

/// Which calls go to which services, and what holds for them.
struct Route {
  std::string m_name;
  std::string m_host;
  /// Begins and ends with a slash.
  std::string m_path_prefix;
  CallKind m_kind = CallKind::kAtMostOnce;
  /// Longest time that a call may be kept waiting.
  Duration m_timeout{};
  /// Time within which an answer, or the first event of a stream, is on time.
  Duration m_objective{};
  /// 0 is the most urgent.
  int m_urgency = 0;
  /// Never empty; one of them is drawn by weight.
  std::vector<ServiceShare> m_services;
  /// Replicas that one call may be sent to.
  uint32_t m_max_attempts = 1;
  /// Calls need no key.
  bool m_anonymous = false;
  /// A broken stream may go on at another replica.
  bool m_resumable = false;

  friend bool operator==(const Route&, const Route&) = default;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_ROUTE_H_
