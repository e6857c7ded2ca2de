#ifndef VERBENALEAD_MODEL_ROUTE_H_
#define VERBENALEAD_MODEL_ROUTE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "model/call_kind.h"
#include "model/service_share.h"

namespace verbenalead::model {

/// Maps calls by host and path to services, with the limits for these calls.
struct Route {
  std::string m_name;
  std::string m_host;
  /// Begins and ends with a slash.
  std::string m_path_prefix;
  CallKind m_kind = CallKind::kAtMostOnce;
  /// The longest time that a call may take; 0: the default of the entry.
  Duration m_timeout{};
  /// Latency objective: the time within which a response, or the first event of
  /// a stream, counts as on time.
  Duration m_objective{};
  /// 0 is the most urgent.
  int m_urgency = 0;
  /// Never empty. One service is selected per call, at random by weight.
  std::vector<ServiceShare> m_services;
  /// Maximum number of replicas that one call may be sent to.
  uint32_t m_max_attempts = 1;
  /// Whether calls are accepted without an API key.
  bool m_anonymous = false;
  /// Whether a broken stream may be resumed at another replica.
  bool m_resumable = false;
  /// The only regions whose replicas may serve its calls; empty: all.
  std::vector<std::string> m_regions;

  friend bool operator==(const Route&, const Route&) = default;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_ROUTE_H_
