# Decision library: performs no input or output and uses no clock, thread or random source of its
# own. scripts/check_core_includes enforces this.
file(STRINGS ${CMAKE_SOURCE_DIR}/src/core_sources.txt CORNELSHED_CORE_PARTS)
set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/core_sources.txt)
set(CORNELSHED_CORE_FILES)
foreach(part IN LISTS CORNELSHED_CORE_PARTS)
  if(EXISTS ${CMAKE_SOURCE_DIR}/src/${part}.cpp)
    list(APPEND CORNELSHED_CORE_FILES ${CMAKE_SOURCE_DIR}/src/${part}.cpp)
  endif()
endforeach()
add_library(cornelshed_core STATIC ${CORNELSHED_CORE_FILES})
target_include_directories(cornelshed_core PUBLIC ${CMAKE_SOURCE_DIR}/src)
