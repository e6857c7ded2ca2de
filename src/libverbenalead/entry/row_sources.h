#ifndef VERBENALEAD_ENTRY_ROW_SOURCES_H_
#define VERBENALEAD_ENTRY_ROW_SOURCES_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "decide/burst_pace.h"
#include "decide/cold_start.h"
#include "decide/handout_pace.h"
#include "decide/reading_turn.h"
#include "entry/entry_state.h"
#include "entry/row_intake.h"
#include "links/table_follower.h"
#include "platform/store.h"
#include "wire/client.h"
#include "wire/response_writer.h"

namespace verbenalead::entry {

/// Brings the rows of the operator's table and of the table of replicas: from
/// the store, or from the near entry that reads it.
class RowSources {
 public:
  /// `on_rows` is called after rows have been taken in. `store` and `peers`
  /// outlive this.
  RowSources(const boost::asio::any_io_executor& executor,
             EntryState& state,
             platform::Store& store,
             wire::Client& peers,
             std::function<void()> on_rows);

  /// Starts to follow both tables. An entry that knows nothing yet holds back
  /// while others may bring them.
  void Start();

  /// Takes over what near entries know better, and turns to the store where
  /// none of them reads it. Called after their news, and ten times a second.
  void Compare();

  /// The store has told which other entries there are.
  void NoteEntriesKnown();

  /// True once after this entry has taken over reading and was answered: the
  /// others wait for that.
  bool HasTakenOver();

  /// Answers near entries and targets that fetch rows.
  Awaitable<void> TellRows(const wire::Request& request,
                           wire::ResponseWriter& caller);

  RowIntake& intake() { return m_intake; }

 private:
  /// Rows in the form in which they are told.
  struct ToldRows {
    uint64_t m_revision = 0;
    std::shared_ptr<const std::string> m_text;
  };

  static constexpr uint32_t kBurst = 5;
  static constexpr Duration kInterval = 400ms;

  links::FollowPace OperatorPace();
  links::FollowPace ReplicaPace();
  /// How long this entry leaves a store alone that didn't answer it.
  Duration PauseAfterFailure();
  /// Whether another entry brings the rows of a table that is `known` here or
  /// not, so that the store needn't be asked now.
  bool IsHeld(bool known) const;
  /// The rows that `path` names, to be told; null: they aren't known, or there
  /// is no such path.
  std::shared_ptr<const std::string> TextOf(const std::string& path);
  void CompareReplicas(const PeerEntry& reader);
  /// Whether rows of `bytes` are told now to the one that made `request`.
  bool MayTell(const wire::Request& request, uint64_t bytes);
  /// Whether an entry that was asked for rows has them but doesn't tell them
  /// now; if so, `ask_at` is when to ask again.
  bool IsPutOff(const Failure& failure, TimePoint& ask_at);
  Awaitable<void> FetchOperatorRows(Endpoint from);
  Awaitable<void> FetchReplicaRows(Endpoint from);

  EntryState& m_state;
  wire::Client& m_peers;
  const boost::asio::any_io_executor m_executor;
  const std::function<void()> m_on_rows;
  RowIntake m_intake;
  links::TableFollower m_operator;
  links::TableFollower m_replicas;
  decide::ReadingTurn m_turn;
  decide::Reading m_reading = decide::Reading::kOwn;
  /// When this entry took over and hasn't told so yet.
  std::optional<TimePoint> m_took_over;
  decide::ColdStart m_cold;
  /// Another entry reads for this one at least since then.
  TimePoint m_read_for_since{};
  /// What was told last, by path: 14 neighbours ask for the same 390 KB.
  std::map<std::string, ToldRows> m_told;
  decide::HandoutPace m_handouts;
  bool m_fetching_operator = false;
  bool m_fetching_replicas = false;
  /// Changes that go on coming are read together, and taken over together: five
  /// a second of 100 KB are a seventh of the link to the store, and the entry
  /// that reads hands each to 14 neighbours. They must be in force after 2 s.
  decide::BurstPace m_operator_pace{kBurst, kInterval};
  decide::BurstPace m_operator_fetch_pace{kBurst, kInterval};
  decide::BurstPace m_replica_fetch_pace{kBurst, kInterval};
  TimePoint m_next_operator_fetch{};
  TimePoint m_next_replica_fetch{};
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_ROW_SOURCES_H_
