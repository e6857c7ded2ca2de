#ifndef VERBENALEAD_LINKS_DECLARATION_CODEC_H_
#define VERBENALEAD_LINKS_DECLARATION_CODEC_H_

#include <boost/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/failure.h"
#include "links/declaration_report.h"

namespace verbenalead::links {

/// Adds the reports to a message; adds nothing if there are none.
void EncodeDeclarations(boost::json::object& object,
                        const std::vector<DeclarationReport>& reports);
/// Fails with kInvalid.
Result<std::vector<DeclarationReport>> DecodeDeclarations(
    const boost::json::object& object);

/// The same for the ages that target processes are told.
void EncodeDeclarationAges(boost::json::object& object,
                           const std::vector<DeclarationAge>& ages);
Result<std::vector<DeclarationAge>> DecodeDeclarationAges(
    const boost::json::object& object);

/// The value of a row that keeps the reports in the store.
std::string EncodeDeclarationRow(const std::vector<DeclarationReport>& reports);
/// Fails with kInvalid.
Result<std::vector<DeclarationReport>> DecodeDeclarationRow(
    std::string_view text);

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_DECLARATION_CODEC_H_
