#ifndef VERBENALEAD_ENTRY_ENTRY_OPTIONS_H_
#define VERBENALEAD_ENTRY_ENTRY_OPTIONS_H_

#include <map>
#include <string>

#include "base/settings.h"
#include "base/settings_schema.h"
#include "decide/attempts/retry_window.h"
#include "model/entry_address.h"

namespace verbenalead::entry {

/// Settings of an entry on the users' platform.
struct EntryOptions {
  model::EntryAddress m_own_address;
  /// HTTP address that reports whether this entry accepts calls.
  Endpoint m_readiness;
  /// HTTP address that gives callers the list of entries to use.
  Endpoint m_directory;
  Endpoint m_metrics;
  Endpoint m_store;
  /// Port on which target processes receive datagrams.
  uint16_t m_target_datagram_port = 0;
  /// Whether a removed key must be rejected on every host, also on a host that
  /// is cut off from the store.
  bool m_strict_keys = true;
  /// Time within which a removed key must be rejected.
  Duration m_key_bound{};
  /// Time within which new weights must be in force.
  Duration m_weights_bound{};
  /// Time from the stop signal until the process is killed.
  Duration m_stop_bound{};
  decide::RetryAllowance m_retries;
  /// Region of each data centre.
  std::map<std::string, std::string> m_regions;
  /// A cold replica may get this many times its rate of calls in a second, and
  /// m_cold_slack calls more, from all entries together.
  double m_cold_overrun = 1;
  double m_cold_slack = 0;
  /// Whether the speeds of replicas count when calls are placed.
  bool m_by_speed = false;
  /// Whether organisations get equal shares of the replicas under overload.
  bool m_shares_organisations = false;
};

SettingsSchema EntrySettings();
EntryOptions ReadEntryOptions(const Settings& settings);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_ENTRY_OPTIONS_H_
