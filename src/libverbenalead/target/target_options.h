#ifndef VERBENALEAD_TARGET_TARGET_OPTIONS_H_
#define VERBENALEAD_TARGET_TARGET_OPTIONS_H_

#include <string>

#include "base/settings.h"
#include "base/settings_schema.h"

namespace verbenalead::target {

/// The settings of a target process on the users' platform.
struct TargetOptions {
  std::string m_host;
  std::string m_data_center;
  /// The service of the replica on this host.
  std::string m_service;
  Endpoint m_engine;
  /// Listening address for datagrams and, over HTTP, for chunks. All targets
  /// use the same port.
  Endpoint m_peers;
  Endpoint m_metrics;
  Endpoint m_store;
  /// Rate of this host's link in bytes per second.
  uint64_t m_link_rate = 0;
  /// Time from the declaration of new weights within which all replicas that
  /// take calls must use them.
  Duration m_weights_bound{};
  /// Whether hosts probe an unavailable origin in turns, announce its return,
  /// give up declared versions for newer ones, and load in turns that fit
  /// the time that is left.
  bool m_origin_outages = false;
  /// Share of `m_weights_bound` that the origin needs at least for one copy of
  /// the weights where `m_origin_outages` has an effect.
  double m_min_copy_share = 0;
  /// Whether the pace that the engine states changes the expected reading and
  /// run times, and is sent to entries.
  bool m_by_speed = false;
  /// As in entry::EntryOptions.
  double m_cold_overrun = 1;
  double m_cold_slack = 0;
};

SettingsSchema TargetSettings();
TargetOptions ReadTargetOptions(const Settings& settings);

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_TARGET_OPTIONS_H_
