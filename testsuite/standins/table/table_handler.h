#ifndef VERBENALEAD_STANDINS_TABLE_TABLE_HANDLER_H_
#define VERBENALEAD_STANDINS_TABLE_TABLE_HANDLER_H_

#include "wire/response_writer.h"

namespace verbenalead::standins {

/// A table service in memory that speaks what verbenalead uses of the DynamoDB
/// JSON protocol: GetItem, Query and TransactWriteItems with the conditions
/// `attribute_not_exists(pk)` and `rev = :rev`. GET /stats counts calls.
wire::Handler MakeTableHandler();

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_TABLE_TABLE_HANDLER_H_
