"""Messages between processes, generated from the .proto files beside."""
