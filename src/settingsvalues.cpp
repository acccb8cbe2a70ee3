// Range and format checks of single settings values.

#include "settingsvalues.h"

#include <boost/asio/ip/address.hpp>

namespace cornelshed::detail {

std::string readAddress(TomlSection &section, std::string_view key)
{
    std::string address = section.text(key);
    if (!section.has(key))
        return address;
    boost::system::error_code ec;
    boost::asio::ip::make_address(address, ec);
    if (ec)
        section.reject(key, "an IP address");
    return address;
}

std::uint16_t readPort(TomlSection &section, std::string_view key, std::int64_t minimumPort)
{
    return static_cast<std::uint16_t>(section.integer(key, minimumPort, 65535));
}

std::uint32_t readCount(TomlSection &section, std::string_view key, std::int64_t minimum,
                        std::int64_t maximum, std::int64_t defaultValue)
{
    return static_cast<std::uint32_t>(section.integer(key, minimum, maximum, defaultValue));
}

} // namespace cornelshed::detail
