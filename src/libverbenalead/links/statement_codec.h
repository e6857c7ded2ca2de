#ifndef VERBENALEAD_LINKS_STATEMENT_CODEC_H_
#define VERBENALEAD_LINKS_STATEMENT_CODEC_H_

#include <boost/json/value.hpp>
#include <vector>

#include "base/failure.h"
#include "links/statement_report.h"

namespace verbenalead::links {

/// JSON form of reports about replicas' statements, as members of the message
/// that carries them. What isn't known is left out.
void EncodeStatements(boost::json::object& object,
                      const StatementReport& report);
Result<StatementReport> DecodeStatements(const boost::json::object& object);

/// A list of reports; left out if it is empty.
void EncodeStatementList(boost::json::object& object,
                         const std::vector<ReplicaStatementReport>& reports);
Result<std::vector<ReplicaStatementReport>> DecodeStatementList(
    const boost::json::object& object);

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_STATEMENT_CODEC_H_
