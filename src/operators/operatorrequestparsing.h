#pragma once

#include "controller/operatorrequest.h"
#include "core/error.h"

#include <functional>
#include <string_view>
#include <vector>

namespace guavavalve {

struct HttpRequest;

/// One question of the operators' HTTP interface: where it stands and how it is read.
struct OperatorRoute
{
    std::string_view method;
    std::string_view path;
    std::function<Result<OperatorRequestBody>(const HttpRequest &)> parse;
};

/// Every question but that of forming the group.
const std::vector<OperatorRoute> &operatorRoutes();

/// \errors InvalidArgument, naming the field, what was found and what is allowed.
Result<FormGroupRequest> parseFormGroup(const HttpRequest &request);

} // namespace guavavalve
