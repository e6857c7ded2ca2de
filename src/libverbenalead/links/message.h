#ifndef VERBENALEAD_LINKS_MESSAGE_H_
#define VERBENALEAD_LINKS_MESSAGE_H_

#include <string>
#include <string_view>
#include <variant>

#include "base/failure.h"
#include "links/call_news.h"
#include "links/chunk_news.h"
#include "links/data_center_summary.h"
#include "links/draw_news.h"
#include "links/entry_news.h"
#include "links/follow_request.h"
#include "links/place_answer.h"
#include "links/place_request.h"
#include "links/place_withdrawal.h"
#include "links/replica_news.h"

namespace verbenalead::links {

/// One datagram between our processes. Any may be lost, doubled or late, so
/// each tells a whole state and none is waited for.
using Message = std::variant<EntryNews,
                             CallNews,
                             ReplicaNews,
                             ChunkNews,
                             DrawNews,
                             FollowRequest,
                             PlaceRequest,
                             PlaceAnswer,
                             PlaceWithdrawal,
                             DataCenterSummary>;

std::string EncodeMessage(const Message& message);
/// Fails with kInvalid on what EncodeMessage didn't write.
Result<Message> DecodeMessage(std::string_view text);

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_MESSAGE_H_
