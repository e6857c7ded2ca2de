#ifndef VERBENALEAD_ENTRY_ENTRY_OPTIONS_H_
#define VERBENALEAD_ENTRY_ENTRY_OPTIONS_H_

#include "base/settings.h"
#include "base/settings_schema.h"
#include "decide/retry_window.h"
#include "model/entry_address.h"

namespace verbenalead::entry {

/// The settings of an entry on the users' platform.
struct EntryOptions {
  model::EntryAddress m_self;
  /// Where it tells whether it takes calls.
  Endpoint m_readiness;
  /// Where it tells callers which entries to use.
  Endpoint m_directory;
  Endpoint m_metrics;
  Endpoint m_store;
  /// Port at which the target processes get datagrams.
  uint16_t m_targets_port = 0;
  /// Whether a removed key must be barred on every host, cut off or not.
  bool m_strict_keys = true;
  /// Time within which a removed key must be barred.
  Duration m_key_bound{};
  /// Time within which new weights must be in force.
  Duration m_weights_bound{};
  /// Time from the order to stop to the end of the process by force.
  Duration m_stop_bound{};
  decide::RetryAllowance m_repeats;
};

SettingsSchema EntrySettings();
EntryOptions ReadEntryOptions(const Settings& settings);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_ENTRY_OPTIONS_H_
