#pragma once

#include "controller/operatorrequest.h"
#include "core/error.h"

#include <functional>
#include <string_view>
#include <vector>

namespace guavavalve {

struct HttpRequest;

/// A route of the operators' HTTP interface, with the parser of its requests.
struct OperatorRoute
{
    std::string_view method;
    std::string_view path;
    std::function<Result<OperatorRequestBody>(const HttpRequest &)> parse;
};

/// All routes whose requests go to the controller.
const std::vector<OperatorRoute> &operatorRoutes();

/// \errors InvalidArgument, naming the field, its value and what is allowed.
Result<FormGroupRequest> parseFormGroup(const HttpRequest &request);

} // namespace guavavalve
