#ifndef VERBENALEAD_LINKS_OPERATOR_ROWS_H_
#define VERBENALEAD_LINKS_OPERATOR_ROWS_H_

#include <map>
#include <string>

#include "base/awaitable.h"
#include "base/endpoint.h"
#include "base/failure.h"
#include "platform/rows.h"
#include "wire/client.h"

namespace verbenalead::links {

/// Where an entry tells the rows of the operator's table.
inline constexpr char kOperatorRowsPath[] = "/v1/operator-rows";

/// The rows of the operator's table as an entry has them, for others near it: a
/// configuration of 290 KB that each host read from the store for itself filled
/// the link between regions for two seconds. `rows` by key; `store_time` of the
/// proof that they are the newest.
std::string EncodeOperatorRows(const std::map<std::string, platform::Row>& rows,
                               Duration store_time);
/// Reads what EncodeOperatorRows writes. Fails with kInvalid.
Result<platform::Rows> DecodeOperatorRows(const std::string& text);

/// Asks the entry at `endpoint` for them.
Awaitable<AsyncResult<platform::Rows>> FetchOperatorRows(wire::Client& http,
                                                         Endpoint endpoint);

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_OPERATOR_ROWS_H_
