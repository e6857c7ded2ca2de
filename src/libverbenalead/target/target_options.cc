#include "target/target_options.h"

namespace verbenalead::target {

SettingsSchema TargetSettings() {
  return SettingsSchema()
      .RequiredText("host", "name of this host")
      .RequiredText("data_center", "data centre of this host")
      .RequiredText("service", "service of the replica on this host")
      .Choice("log.level", {"info", "debug", "warn", "error"},
              "lowest level that is logged")
      .Address("engine", "127.0.0.1:8090", "the replica on this host")
      .Address("listen.peers", "127.0.0.1:8083",
               "datagrams and chunks; all targets use the same port")
      .Address("listen.metrics", "", "metrics over HTTP; empty: none")
      .Address("store.address", "127.0.0.1:8100", "the platform's store")
      .Number("link", 1000, "Mbit/s", "rate of this host's link")
      .Number("bounds.weights", 8000, "ms",
              "time within which new weights must be in force")
      .Flag(
          "weights.origin_outages", false,
          "hosts probe an unavailable origin in turns, announce its return, "
          "choose together which of several declared versions they fetch, and "
          "load in turns that fit the time left")
      .Number("weights.min_copy_share", 0, "of bounds.weights",
              "weights.origin_outages has no effect where the origin sends a "
              "copy of the weights in less")
      .Flag("placement.by_speed", false,
            "reading times follow the pace that the engine states, and entries "
            "are told of it")
      .Number("cold.overrun", 1, "times the stated rate",
              "calls that a cold replica may get in a second, from all entries "
              "together")
      .Number("cold.slack", 0, "calls", "calls in a second beyond that");
}

TargetOptions ReadTargetOptions(const Settings& settings) {
  constexpr double kBytesPerMegabit = 1e6 / 8;
  TargetOptions options;
  options.m_host = settings.Text("host");
  options.m_data_center = settings.Text("data_center");
  options.m_service = settings.Text("service");
  options.m_engine = settings.Address("engine");
  options.m_peers = settings.Address("listen.peers");
  options.m_metrics = settings.Address("listen.metrics");
  options.m_store = settings.Address("store.address");
  options.m_link_rate =
      static_cast<uint64_t>(settings.Number("link") * kBytesPerMegabit);
  options.m_weights_bound = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          settings.Number("bounds.weights")));
  options.m_origin_outages = settings.Flag("weights.origin_outages");
  options.m_min_copy_share = settings.Number("weights.min_copy_share");
  options.m_by_speed = settings.Flag("placement.by_speed");
  options.m_cold_overrun = settings.Number("cold.overrun");
  options.m_cold_slack = settings.Number("cold.slack");
  return options;
}

}  // namespace verbenalead::target
