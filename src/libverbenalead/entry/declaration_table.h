#ifndef VERBENALEAD_ENTRY_DECLARATION_TABLE_H_
#define VERBENALEAD_ENTRY_DECLARATION_TABLE_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "base/awaitable.h"
#include "decide/rollout/declaration_upkeep.h"
#include "entry/entry_state.h"
#include "platform/store.h"

namespace verbenalead::entry {

/// Keeps the dates of declared versions in a table of the store, one row for
/// each data centre, see decide::DeclarationUpkeep. Not safe for concurrent
/// use.
class DeclarationTable {
 public:
  /// `reads_store`: whether this entry reads the store for its data centre.
  /// `state` and `store` outlive this.
  DeclarationTable(const boost::asio::any_io_executor& executor,
                   EntryState& state,
                   platform::Store& store,
                   std::function<bool()> reads_store);

  /// Doesn't return.
  Awaitable<void> Run();
  /// Called after rows were applied: a new date is written at once.
  void Wake();

  /// Takes the next step if one is due, and returns whether it did.
  Awaitable<bool> TakeStep();

 private:
  Awaitable<void> Write(std::string row);
  Awaitable<void> Read();

  EntryState& m_state;
  platform::Store& m_store;
  const std::function<bool()> m_reads_store;
  boost::asio::steady_timer m_timer;
  decide::DeclarationUpkeep m_upkeep;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_DECLARATION_TABLE_H_
