#ifndef VERBENALEAD_MODEL_HOST_H_
#define VERBENALEAD_MODEL_HOST_H_

#include <compare>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"

namespace verbenalead::model {

enum class HostRole { kEntry, kTarget };

/// One entry of the platform's host list. The list may be out of date and
/// serves only as a hint: whether a host is alive is determined by contacting
/// the host itself.
class Host {
 public:
  Host() = default;

  const std::string& name() const { return m_name; }
  HostRole role() const { return m_role; }
  const std::string& region() const { return m_region; }
  const std::string& data_center() const { return m_data_center; }
  /// The pool that a target host belongs to.
  const std::string& pool() const { return m_pool; }
  /// Where the system's process on this host listens for its peers.
  const Endpoint& peer() const { return m_peer; }
  /// Where an entry host listens for callers; empty for targets.
  const Endpoint& callers() const { return m_callers; }
  bool leaving() const { return m_leaving; }

  friend auto operator<=>(const Host&, const Host&) = default;

 private:
  friend class HostBuilder;

  std::string m_name;
  HostRole m_role = HostRole::kTarget;
  std::string m_region;
  std::string m_data_center;
  std::string m_pool;
  Endpoint m_peer;
  Endpoint m_callers;
  bool m_leaving = false;
};

/// Parses a host list in the format of Prometheus HTTP service discovery: a
/// list of {"targets": ["IP:port"], "labels": {...}} with the labels host,
/// role, region, data_center, pool, callers and state.
Result<std::vector<Host>> ParseHostList(std::string_view json);

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_HOST_H_
