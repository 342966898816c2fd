// Implements Base64 on POCO's coders.
#include "radishflow/Support/base64.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/StreamCopier.h>

#include <sstream>

namespace radishflow {

std::string encodeBase64(std::string_view bytes)
{
    std::ostringstream text;
    Poco::Base64Encoder encoder { text };
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return text.str();
}

std::string decodeBase64(const std::string& text)
{
    std::istringstream input { text };
    Poco::Base64Decoder decoder { input };
    std::string bytes;
    Poco::StreamCopier::copyToString(decoder, bytes);
    return bytes;
}

} // namespace radishflow
