#ifndef VERBENALEAD_STANDINS_TABLE_TABLE_HANDLER_H_
#define VERBENALEAD_STANDINS_TABLE_TABLE_HANDLER_H_

#include "wire/response_writer.h"

namespace verbenalead::standins {

/// Creates the handler of an in-memory table service. It implements the subset
/// of the DynamoDB JSON protocol that verbenalead uses: GetItem, Query and
/// TransactWriteItems with the conditions `attribute_not_exists(pk)` and
/// `rev = :rev`. GET /stats returns the numbers of reads and writes.
wire::Handler MakeTableHandler();

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_TABLE_TABLE_HANDLER_H_
