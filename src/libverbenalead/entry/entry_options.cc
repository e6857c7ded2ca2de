#include "entry/entry_options.h"

#include "base/log.h"

namespace verbenalead::entry {
namespace {

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

/// Reads texts of the form DATA_CENTRE=REGION; others are logged and ignored.
std::map<std::string, std::string> RegionsFrom(
    const std::vector<std::string>& texts) {
  std::map<std::string, std::string> regions;
  for (const std::string& text : texts) {
    const size_t equals = text.find('=');
    if (equals == 0 || equals == std::string::npos ||
        equals + 1 == text.size()) {
      LogLine("setting_ignored")
          .With("setting", "regions")
          .With("value", text)
          .With("allowed", "DATA_CENTRE=REGION")
          .Warn();
      continue;
    }
    regions[text.substr(0, equals)] = text.substr(equals + 1);
  }
  return regions;
}

}  // namespace

SettingsSchema EntrySettings() {
  return SettingsSchema()
      .RequiredText("host", "name of this host")
      .RequiredText("data_center", "data centre of this host")
      .Choice("log.level", {"info", "debug", "warn", "error"},
              "lowest level that is logged")
      .Address("listen.callers", "127.0.0.1:8080",
               "address of the HTTP API of callers")
      .Address("listen.readiness", "127.0.0.1:8081",
               "HTTP: whether the entry accepts calls")
      .Address("listen.directory", "127.0.0.1:8082",
               "HTTP: list of the entries that callers should use")
      .Address("listen.peers", "127.0.0.1:8083",
               "datagrams and row requests of other entries and target "
               "processes; target processes receive datagrams on the same port")
      .Address("listen.metrics", "", "metrics over HTTP; empty: none")
      .Address("store.address", "127.0.0.1:8100", "the platform's store")
      .Flag("bounds.strict_keys", true,
            "a removed key must be rejected on every host, also on a host that "
            "is cut off from the store")
      .Number("bounds.keys", 5000, "ms",
              "time within which a removed key must be rejected")
      .Number("bounds.weights", 8000, "ms",
              "time within which new weights must be in force")
      .Number("bounds.stop", 8, "s",
              "time from the stop signal until the process is killed")
      .Number("repeats.ratio", 0.2, "repeats for a call",
              "repeats at one service, of all entries together")
      .Number("repeats.slack", 100, "repeats", "repeats beyond the ratio")
      .Number("repeats.window", 10, "s", "time over which repeats are counted")
      .TextList("regions",
                "region of each data centre, as DATA_CENTRE=REGION; needed "
                "where routes or organisations name regions")
      .Number("cold.overrun", 1, "times the stated rate",
              "calls that a cold replica may get in a second, from all entries "
              "together")
      .Number("cold.slack", 0, "calls", "calls in a second beyond that")
      .Flag("placement.by_speed", false,
            "slower replicas get fewer calls, by the pace that target "
            "processes state or by the run times of answers")
      .Flag("shares.organisations", false,
            "under overload each organisation gets an equal share of the "
            "replicas' time, within each rank");
}

EntryOptions ReadEntryOptions(const Settings& settings) {
  constexpr double kMillisecondsPerSecond = 1000;
  EntryOptions options;
  options.m_own_address = {settings.Text("host"), settings.Text("data_center"),
                           settings.Address("listen.callers"),
                           settings.Address("listen.peers")};
  options.m_readiness = settings.Address("listen.readiness");
  options.m_directory = settings.Address("listen.directory");
  options.m_metrics = settings.Address("listen.metrics");
  options.m_store = settings.Address("store.address");
  options.m_target_datagram_port = options.m_own_address.m_peers.port();
  options.m_strict_keys = settings.Flag("bounds.strict_keys");
  options.m_key_bound =
      Seconds(settings.Number("bounds.keys") / kMillisecondsPerSecond);
  options.m_weights_bound =
      Seconds(settings.Number("bounds.weights") / kMillisecondsPerSecond);
  options.m_stop_bound = Seconds(settings.Number("bounds.stop"));
  options.m_retries = {settings.Number("repeats.ratio"),
                       settings.Number("repeats.slack"),
                       Seconds(settings.Number("repeats.window"))};
  options.m_regions = RegionsFrom(settings.TextList("regions"));
  options.m_cold_overrun = settings.Number("cold.overrun");
  options.m_cold_slack = settings.Number("cold.slack");
  options.m_by_speed = settings.Flag("placement.by_speed");
  options.m_shares_organisations = settings.Flag("shares.organisations");
  return options;
}

}  // namespace verbenalead::entry
