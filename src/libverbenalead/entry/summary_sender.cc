#include "entry/summary_sender.h"

#include <algorithm>

#include "base/boot_clock.h"
#include "base/log.h"
#include "entry/peer_updates.h"
#include "entry/statements.h"
#include "entry/summary.h"

namespace verbenalead::entry {
namespace {

/// Whether a replica has begun or ended loading weights, or has other weights.
/// Values that change with each call don't count: they wait for the next
/// regular summary.
bool HasLoadChange(const std::vector<links::ReplicaSummary>& before,
                   const std::vector<links::ReplicaSummary>& after) {
  return !std::equal(
      before.begin(), before.end(), after.begin(), after.end(),
      [](const links::ReplicaSummary& a, const links::ReplicaSummary& b) {
        return a.m_replica == b.m_replica && a.m_version == b.m_version &&
               a.m_closing == b.m_closing && a.m_loading == b.m_loading;
      });
}

/// Whether `after` has reports that `before` lacks.
bool HasNewReports(const std::vector<links::AgedCrashReport>& before,
                   const std::vector<links::AgedCrashReport>& after) {
  return std::any_of(after.begin(), after.end(), [&](const auto& report) {
    return std::none_of(before.begin(), before.end(), [&](const auto& other) {
      return other.m_report == report.m_report;
    });
  });
}

}  // namespace

SummarySender::SummarySender(EntryState& state,
                             links::DatagramSocket& datagrams)
    : m_state(state),
      m_datagrams(datagrams),
      m_sequence(static_cast<uint64_t>(ToMilliseconds(BootNow()))) {}

void SummarySender::SendIfDue() {
  const TimePoint now = Now();
  const std::vector<decide::SummaryPeer> peers = ToSummaryPeers(m_state, now);
  const model::EntryAddress& self = m_state.m_options.m_own_address;
  const bool is_sender_now =
      IsReady(m_state) &&
      decide::IsSummarySender(self.m_host, self.m_data_center, peers);
  if (is_sender_now != m_is_sender) {
    m_is_sender = is_sender_now;
    LogLine("sends_summary").With("sends", is_sender_now).Info();
  }
  if (!is_sender_now || now - m_sent_at < decide::kLoadChangeSummaryInterval)
    return;
  links::DataCenterSummary summary = SummaryOf(m_state, now);
  const bool changed = HasLoadChange(m_last_sent, summary.m_replicas) ||
                       !StateTheSame(m_last_statements, summary.m_statements) ||
                       HasNewReports(m_last_reports, summary.m_crash_reports);
  if (!decide::IsSummaryDue(m_sent_at, changed, now))
    return;
  m_sent_at = now;
  summary.m_sequence = ++m_sequence;
  for (const std::string& host :
       decide::SummaryRecipients(self.m_data_center, peers, m_state.m_random)) {
    m_datagrams.Send(m_state.m_peers.at(host).m_address.m_peers, summary);
  }
  m_last_sent = std::move(summary.m_replicas);
  m_last_statements = std::move(summary.m_statements);
  m_last_reports = std::move(summary.m_crash_reports);
}

void SummarySender::HandleSummary(const links::DataCenterSummary& summary) {
  if (!ApplySummary(m_state, summary, Now()) || summary.m_relayed)
    return;
  links::DataCenterSummary relayed = summary;
  relayed.m_relayed = true;
  for (const auto& [host, peer] : m_state.m_peers) {
    if (IsInSameDataCenter(m_state, peer) &&
        HasRecentUpdate(m_state, peer, Now()))
      m_datagrams.Send(peer.m_address.m_peers, relayed);
  }
}

}  // namespace verbenalead::entry
