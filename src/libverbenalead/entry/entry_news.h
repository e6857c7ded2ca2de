#ifndef VERBENALEAD_ENTRY_ENTRY_NEWS_H_
#define VERBENALEAD_ENTRY_ENTRY_NEWS_H_

#include "entry/entry_state.h"
#include "links/entry_news.h"
#include "links/load_news.h"
#include "links/weights_news.h"

namespace verbenalead::entry {

/// What this entry tells the others.
links::EntryNews NewsOf(const EntryState& state);

/// Takes in what another entry told.
void TakeNews(EntryState& state, const links::EntryNews& news, TimePoint now);

/// What has changed at the replicas since `told`; `told` is brought up to date.
links::LoadNews ChangesSince(const EntryState& state,
                             std::map<std::string, links::ReplicaCalls>& told);
void TakeNews(EntryState& state, const links::LoadNews& news);

/// Takes in what a target process told of its replica.
void TakeNews(EntryState& state, const links::WeightsNews& news, TimePoint now);

/// Adds up, for each replica, the calls that the other entries have there.
void SumUpElsewhere(EntryState& state);

/// Takes out of the sums what silent entries told.
void ForgetSilentPeers(EntryState& state, TimePoint now);

/// Entries that callers of `data_center` should use: those there, if there are
/// enough of them, else all.
std::vector<Endpoint> EntriesFor(const EntryState& state,
                                 const std::string& data_center,
                                 TimePoint now);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_ENTRY_NEWS_H_
