#pragma once

#include <cpprest/http_client.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace fakes {

struct HttpAnswer
{
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Sends one HTTP request as a caller does, and waits for the response.
inline HttpAnswer callHttp(const std::string &method, const std::string &url,
                           const std::map<std::string, std::string> &headers = {},
                           const std::string &body = {})
{
    web::http::client::http_client_config config;
    config.set_timeout(std::chrono::seconds(60));
    web::http::client::http_client client(web::uri(url), config);
    web::http::http_request request(method);
    for (const auto &[name, value] : headers)
        request.headers().add(name, value);
    if (!body.empty())
        request.set_body(std::vector<unsigned char>(body.begin(), body.end()));
    const web::http::http_response response = client.request(request).get();
    const std::vector<unsigned char> bytes = response.extract_vector().get();
    HttpAnswer answer;
    answer.status = response.status_code();
    for (const auto &[name, value] : response.headers())
        answer.headers[name] = value;
    answer.body.assign(bytes.begin(), bytes.end());
    return answer;
}

} // namespace fakes
